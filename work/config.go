package work

import (
	"strings"
)

// AdvisorConfig holds the expected latency and the ticket validity of the service that decides which targets may run a queue's steps.
type AdvisorConfig struct {
	BaseLatencyMs float64
	// PerTargetLatencyMs is the latency that each candidate target adds.
	PerTargetLatencyMs float64
	TicketValidityMs   int64
}

// Queue accepts jobs under a host and path prefix and sends them to a pool.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Pool       string
	// Public queues accept jobs without an API key.
	Public bool
	// Priority orders the queues; 0 is the highest.
	Priority    int
	MaxAttempts int
	// SlackFactor times a job's critical path plus TargetDurationMs is the time within which the job should complete.
	SlackFactor      float64
	FixedSlackMs int64
	TimeoutMs        int64
	// Advisor is nil if the queue's steps may run on every target of the pool.
	Advisor *AdvisorConfig
}

// Pool is a group of hosts that run the jobs of the same queues.
type Pool struct {
	Name string
	// EnforcesCapacity means that the pool's targets reject items that exceed their capacity.
	EnforcesCapacity bool
	// Standby pools hold hosts that are powered off and cost nothing.
	Standby    bool
	HealthPath string
}

// Team is a tenant that submits jobs with its API keys; Weight sets its fair share.
type Team struct {
	Name   string
	Keys   []string
	Weight float64
	// Cap limits the resources of the team's running items; 0 in a dimension means no limit.
	Cap Resources
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Teams   []Team
	// MaxBodyBytes is the configured limit of a request's body.
	MaxBodyBytes int
}

// Route returns the queue of the host whose prefix is the longest match for the path.
func (c *Config) Route(host, path string) (*Queue, bool) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best, best != nil
}

// Queue returns the queue with the given name.
func (c *Config) Queue(name string) (*Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i], true
		}
	}
	return nil, false
}

// Pool returns the pool with the given name.
func (c *Config) Pool(name string) (*Pool, bool) {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i], true
		}
	}
	return nil, false
}

// TeamByKey returns the team that owns the API key.
func (c *Config) TeamByKey(key string) (*Team, bool) {
	for i := range c.Teams {
		for _, k := range c.Teams[i].Keys {
			if k == key {
				return &c.Teams[i], true
			}
		}
	}
	return nil, false
}

// Team returns the team with the given name.
func (c *Config) Team(name string) (*Team, bool) {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i], true
		}
	}
	return nil, false
}
