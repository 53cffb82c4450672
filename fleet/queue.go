package fleet

import "time"

// Queue feeds requests of one class to one service.
type Queue struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Open queues take requests without a key.
	Open bool `json:"open"`
	// Urgent requests are started before the same team's other requests.
	Urgent bool `json:"urgent"`
	// MaxWaitMs is the longest time a request waits for a slot before it is refused.
	MaxWaitMs int `json:"maxWaitMs"`
	// MaxDepth is the most requests of one team that wait at one entry process.
	MaxDepth int   `json:"maxDepth"`
	Version  int64 `json:"version"`
}

// ID returns the queue's name.
func (q Queue) ID() string { return q.Name }

// At returns the log offset of the queue's last change.
func (q Queue) At() int64 { return q.Version }

// MaxWait returns the longest wait for a slot.
func (q Queue) MaxWait() time.Duration { return time.Duration(q.MaxWaitMs) * time.Millisecond }

// WithVersion returns a copy at the given version.
func (q Queue) WithVersion(version int64) Queue {
	q.Version = version
	return q
}

// Problems returns every reason why the queue is not acceptable.
func (q Queue) Problems() []string {
	return join(
		present("name", q.Name),
		present("service", q.Service),
		atLeast("maxWaitMs", q.MaxWaitMs, 1),
		atLeast("maxDepth", q.MaxDepth, 1),
	)
}

func (Queue) row() {}
