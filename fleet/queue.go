package fleet

import "time"

// Queue accepts one class of requests for one service.
type Queue struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Open queues accept requests without a key.
	Open bool `json:"open"`
	// Urgent requests are started before the same team's other requests.
	Urgent bool `json:"urgent"`
	// MaxWaitMs is how long a request may wait for a slot before it is refused, in milliseconds.
	MaxWaitMs int `json:"maxWaitMs"`
	// MaxDepth is how many requests of one team may wait at one entry process.
	MaxDepth int   `json:"maxDepth"`
	Version  int64 `json:"version"`
}

// ID returns the queue's name.
func (q Queue) ID() string { return q.Name }

// RowVersion returns the log offset of the queue's last change.
func (q Queue) RowVersion() int64 { return q.Version }

// MaxWait returns how long a request may wait for a slot.
func (q Queue) MaxWait() time.Duration { return time.Duration(q.MaxWaitMs) * time.Millisecond }

// WithVersion returns a copy at the given version.
func (q Queue) WithVersion(version int64) Queue {
	q.Version = version
	return q
}

// Problems returns every reason why the queue is invalid.
func (q Queue) Problems() []string {
	return concat(
		notEmpty("name", q.Name),
		notEmpty("service", q.Service),
		atLeast("maxWaitMs", q.MaxWaitMs, 1),
		atLeast("maxDepth", q.MaxDepth, 1),
	)
}

func (Queue) row() {}
