package change

import (
	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/record"
)

// System is where operators' commands read the configuration and apply changes to it.
type System interface {
	// Tables returns the configuration in force.
	Tables() (entry.TablesReply, error)
	// Apply puts a change in force, all of it or nothing, and returns its version.
	Apply(c record.Change) (entry.ChangeReply, error)
}
