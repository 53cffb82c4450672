package change

import (
	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/record"
)

// RecordingSystem records changes in memory and returns fixed tables.
type RecordingSystem struct {
	tables  entry.TablesReply
	changes []record.Change
}

// NewRecording returns a system that returns the given tables.
func NewRecording(tables entry.TablesReply) *RecordingSystem { return &RecordingSystem{tables: tables} }

// Tables implements System.
func (s *RecordingSystem) Tables() (entry.TablesReply, error) { return s.tables, nil }

// Apply records the change; it does not validate it.
func (s *RecordingSystem) Apply(c record.Change) (entry.ChangeReply, error) {
	s.changes = append(s.changes, c)
	return entry.ChangeReply{Version: s.tables.Version + int64(len(s.changes))}, nil
}

// Changes returns the recorded changes in order.
func (s *RecordingSystem) Changes() []record.Change { return s.changes }
