package admit

import "time"

// Waiter is one request before and while it runs; the table keeps a pointer to it until it is done.
type Waiter struct {
	Service ServiceID
	Team    TeamID
	Urgent  bool
	// MaxDepth is the most requests of the team that may wait.
	MaxDepth int
	// Deadline is when the request is refused if it has not started.
	Deadline time.Time
	// Avoid is a target that already failed this request, or NoTarget.
	Avoid TargetID
	// Target is where the request runs, once it has started.
	Target TargetID
	// Decision receives the decision on a request that had to wait; it has room for one.
	Decision chan Decision

	state waiterState
}

type waiterState int

const (
	stateNew waiterState = iota
	stateWaiting
	stateRunning
	stateDone
)
