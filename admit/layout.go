package admit

import "time"

// Layout is the part of the configuration that admission needs; it replaces the earlier one whole.
type Layout struct {
	Teams    []TeamLayout
	Services []ServiceLayout
}

// TeamLayout describes a team.
type TeamLayout struct {
	Name  string
	Share int
}

// ServiceLayout describes a service and its targets.
type ServiceLayout struct {
	Name     string
	RunLimit time.Duration
	Targets  []TargetLayout
}

// TargetLayout describes a target.
type TargetLayout struct {
	Name     string
	Address  string
	Zone     string
	Slots    int
	Draining bool
}
