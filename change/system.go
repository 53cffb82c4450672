package change

import (
	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/record"
)

// System gives operators' commands access to the configuration.
type System interface {
	// Tables returns the current configuration.
	Tables() (entry.TablesReply, error)
	// Apply applies a change as a whole or not at all, and returns the new version.
	Apply(c record.Change) (entry.ChangeReply, error)
}
