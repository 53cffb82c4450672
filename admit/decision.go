package admit

// Decision is what the table decided on a request.
type Decision int

// The decisions on a request.
const (
	// Started means that the request holds a slot of its Target.
	Started Decision = iota
	// Queued means that a later decision comes over Wake.
	Queued
	// RefusedQueueFull means that too many requests of the team wait already.
	RefusedQueueFull
	// RefusedTimeout means that no slot came before the deadline.
	RefusedTimeout
	// RefusedLimit means that the team's limit held the request back until the deadline.
	RefusedLimit
	// RefusedNoTarget means that the service has no target at all.
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
