package change

import (
	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/record"
)

// DryRunSystem makes the entry process validate each change without applying it.
type DryRunSystem struct {
	*RealSystem
}

// NewDryRun returns a system that validates changes through the given one.
func NewDryRun(system *RealSystem) *DryRunSystem { return &DryRunSystem{RealSystem: system} }

// Apply returns an error if the change would be rejected.
func (s *DryRunSystem) Apply(c record.Change) (entry.ChangeReply, error) {
	return s.apply(entry.ChangesPath+"?dryRun=true", c)
}
