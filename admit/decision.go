package admit

// Decision is the admission decision on a request.
type Decision int

// The admission decisions.
const (
	// Started means that the request occupies a slot of its Target.
	Started Decision = iota
	// Queued means that the final decision is sent on the waiter's Decision channel.
	Queued
	// RefusedQueueFull means that the team already has as many waiting requests as it may.
	RefusedQueueFull
	// RefusedTimeout means that no slot became free before the deadline.
	RefusedTimeout
	// RefusedLimit means that the team was at its limit when the deadline passed.
	RefusedLimit
	// RefusedNoTarget means that the service has no targets.
	RefusedNoTarget
)

// Reason returns the machine-readable reason of a refusal.
func (d Decision) Reason() string {
	switch d {
	case RefusedQueueFull:
		return "queueFull"
	case RefusedTimeout:
		return "noSlotInTime"
	case RefusedLimit:
		return "limitReached"
	case RefusedNoTarget:
		return "noTarget"
	default:
		return ""
	}
}
