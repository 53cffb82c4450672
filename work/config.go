package work

import (
	"strings"
)

// AdvisorConfig holds the expected latency of the advisor, the service that decides which targets may run a queue's steps, and the validity of the tickets that it returns.
type AdvisorConfig struct {
	_             struct{} `cbor:",toarray"`
	BaseLatencyMs float64
	// PerTargetLatencyMs is the latency that each candidate target adds.
	PerTargetLatencyMs float64
	TicketValidityMs   int64
}

// Queue accepts jobs under an HTTP host name and a path prefix and sends them to a pool.
type Queue struct {
	Name string
	// Host is the name in the Host header of requests, without the port.
	Host       string
	PathPrefix string
	Pool       string
	// Public queues accept jobs without an API key.
	Public bool
	// Priority is the queue's rank when steps are placed: a lower number comes first, and 0 is the highest priority.
	Priority int
	// MaxAttempts is the number of failed runs of an item after which its job fails; 0 counts as 1. It does not apply to serving items.
	MaxAttempts int
	// A job should complete within SlackFactor times the length of its critical path, plus FixedSlackMs.
	SlackFactor  float64
	FixedSlackMs int64
	// TimeoutMs is the request timeout that operators configure for the queue; jobs have none.
	TimeoutMs int64
	// Advisor is nil if the queue's steps may run on every target of the pool.
	Advisor *AdvisorConfig
}

// Terms returns what a job that the queue accepts keeps of it.
func (q *Queue) Terms() *QueueTerms {
	return &QueueTerms{Priority: q.Priority, MaxAttempts: q.MaxAttempts, SlackFactor: q.SlackFactor, FixedSlackMs: q.FixedSlackMs, Advisor: q.Advisor}
}

// Pool is a group of hosts that run the jobs of the same queues.
type Pool struct {
	Name string
	// EnforcesCapacity means that the pool's targets reject items that exceed their capacity.
	EnforcesCapacity bool
	// Standby pools hold spare hosts, which are powered off and cost nothing.
	Standby bool
	// HealthPath is the path of the pool's health checks.
	HealthPath string
}

// Team is a tenant that submits jobs with its API keys. Its fair share of a pool is in proportion to Weight.
type Team struct {
	Name   string
	Keys   []string
	Weight float64
	// Cap limits the resources of the team's running items; 0 in a dimension means no limit.
	Cap Resources
}

// Config is one version of the configuration that operators write to the store.
type Config struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Teams   []Team
	// MaxBodyBytes is the limit of a request's body that operators configure.
	MaxBodyBytes int
}

// Route returns the queue for a request: of the queues with the request's host, the one that has the longest path prefix matching the path.
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
