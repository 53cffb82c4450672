package change

import (
	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/record"
)

// RecordingSystem keeps the changes that it is given, and answers with the tables that it was made with.
type RecordingSystem struct {
	tables  entry.TablesReply
	changes []record.Change
}

// NewRecording returns a recording system over fixed tables.
func NewRecording(tables entry.TablesReply) *RecordingSystem { return &RecordingSystem{tables: tables} }

// Tables returns the fixed tables.
func (s *RecordingSystem) Tables() (entry.TablesReply, error) { return s.tables, nil }

// Apply keeps the change.
func (s *RecordingSystem) Apply(c record.Change) (entry.ChangeReply, error) {
	s.changes = append(s.changes, c)
	return entry.ChangeReply{Version: s.tables.Version + int64(len(s.changes))}, nil
}

// Changes returns what was applied, in order.
func (s *RecordingSystem) Changes() []record.Change { return s.changes }
