package admit

import "time"

// Waiter is one attempt of a request in the table: it waits for a slot, and then occupies the slot while the request runs. The table keeps a pointer to it until it is refused, cancelled or finished.
type Waiter struct {
	Service ServiceID
	Team    TeamID
	Urgent  bool
	// MaxDepth is the maximum number of waiting requests of the team at the service.
	MaxDepth int
	// Deadline is the time at which the request is refused if it has not started.
	Deadline time.Time
	// Avoid is the target of the last failed attempt, or NoTarget.
	Avoid TargetID
	// Target is the target whose slot the request occupies; it is set when the request starts.
	Target TargetID
	// Decision receives the decision on a queued request; it must have a buffer of one.
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
