package admit

import "time"

// Config is the part of the configuration that admission needs; it replaces the earlier one whole.
type Config struct {
	Teams    []TeamConfig
	Services []ServiceConfig
}

// TeamConfig describes a team.
type TeamConfig struct {
	Name  string
	Share int
}

// ServiceConfig describes a service and its targets.
type ServiceConfig struct {
	Name     string
	RunLimit time.Duration
	Targets  []TargetConfig
}

// TargetConfig describes a target.
type TargetConfig struct {
	Name     string
	Address  string
	Zone     string
	Slots    int
	Draining bool
}
