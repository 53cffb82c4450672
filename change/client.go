package change

import (
	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/record"
)

// Client gives operators' commands access to the configuration.
type Client interface {
	// Tables returns the current configuration.
	Tables() (entry.TablesReply, error)
	// Apply applies a change as a whole or not at all, and returns the new version.
	Apply(change record.Change) (entry.ChangeReply, error)
}
