package work

import (
	"strings"
)

// AdvisorConfig describes the service that says which targets may run a queue's steps.
type AdvisorConfig struct {
	BaseLatencyMs float64
	// PerTargetLatencyMs is what each named target adds to an answer's time.
	PerTargetLatencyMs float64
	TicketValidityMs     int64
}

// Queue takes jobs at a path and leads them to a pool.
type Queue struct {
	Name   string
	Host   string
	PathPrefix string
	Pool   string
	// Public queues take work without a key.
	Public bool
	// Priority 0 goes first.
	Priority    int
	MaxAttempts int
	// SlackFactor times the longest chain of work, and TargetMs more, is the time in which a job should be complete.
	SlackFactor float64
	TargetDurationMs    int64
	TimeoutMs   int64
	// Advisor is nil where the queue's steps may run on every target of the pool.
	Advisor *AdvisorConfig
}

// Pool is a group of hosts that run one service's work.
type Pool struct {
	Name string
	// EnforcesCapacity means that the pool's targets reject what does not fit.
	EnforcesCapacity bool
	// Standby pools hold hosts that are off and cost nothing.
	Standby    bool
	HealthPath string
}

// Team submits work with its keys, within its weight and cap.
type Team struct {
	Name   string
	Keys   []string
	Weight float64
	// Cap bounds what the team has running; 0 in a dimension means no limit.
	Cap Resources
}

// Config is one version of what the operators set.
type Config struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Teams   []Team
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int
}

// Route returns the queue with the longest prefix of the path at the host.
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

// Queue returns the queue of the name.
func (c *Config) Queue(name string) (*Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i], true
		}
	}
	return nil, false
}

// Pool returns the pool of the name.
func (c *Config) Pool(name string) (*Pool, bool) {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i], true
		}
	}
	return nil, false
}

// TeamByKey returns the team that holds the key.
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

// Team returns the team of the name.
func (c *Config) Team(name string) (*Team, bool) {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i], true
		}
	}
	return nil, false
}
