package change

import (
	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/record"
)

// RecordingClient records changes in memory and returns fixed tables.
type RecordingClient struct {
	tables  entry.TablesReply
	changes []record.Change
}

// NewRecordingClient returns a client that returns the given tables.
func NewRecordingClient(tables entry.TablesReply) *RecordingClient {
	return &RecordingClient{tables: tables}
}

// Tables implements Client.
func (c *RecordingClient) Tables() (entry.TablesReply, error) { return c.tables, nil }

// Apply records the change; it does not validate it.
func (c *RecordingClient) Apply(change record.Change) (entry.ChangeReply, error) {
	c.changes = append(c.changes, change)
	return entry.ChangeReply{Version: c.tables.Version + int64(len(c.changes))}, nil
}

// Changes returns the recorded changes in order.
func (c *RecordingClient) Changes() []record.Change { return c.changes }
