package change

import (
	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/record"
)

// DryRunSystem lets the entry process judge each change without putting it in force.
type DryRunSystem struct {
	*RealSystem
}

// NewDryRun returns a system that changes nothing.
func NewDryRun(system *RealSystem) *DryRunSystem { return &DryRunSystem{RealSystem: system} }

// Apply asks whether the change would be accepted.
func (s *DryRunSystem) Apply(c record.Change) (entry.ChangeReply, error) {
	return s.apply(entry.ChangesPath+"?dryRun=true", c)
}
