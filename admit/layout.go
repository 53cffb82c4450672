package admit

import "time"

// Layout is the part of the configuration that admission needs.
type Layout struct {
	Teams    []TeamLayout
	Services []ServiceLayout
}

// TeamLayout is the configuration of a team.
type TeamLayout struct {
	Name  string
	Share int
}

// ServiceLayout is the configuration of a service and its targets.
type ServiceLayout struct {
	Name     string
	RunLimit time.Duration
	Targets  []TargetLayout
}

// TargetLayout is the configuration of a target.
type TargetLayout struct {
	Name     string
	Address  string
	Zone     string
	Slots    int
	Draining bool
}
