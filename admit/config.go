package admit

import "time"

// Config is the part of the configuration that admission needs.
type Config struct {
	Teams    []TeamConfig
	Services []ServiceConfig
}

// TeamConfig is the configuration of a team.
type TeamConfig struct {
	Name  string
	Share int
}

// ServiceConfig is the configuration of a service and its targets.
type ServiceConfig struct {
	Name     string
	RunLimit time.Duration
	Targets  []TargetConfig
}

// TargetConfig is the configuration of a target.
type TargetConfig struct {
	Name     string
	Address  string
	Zone     string
	Slots    int
	Draining bool
}
