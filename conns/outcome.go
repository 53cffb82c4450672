package conns

// Outcome is what is known about an attempt after it has ended.
type Outcome int

// Outcomes of an attempt.
const (
	// NotSent means that no byte reached the target.
	NotSent Outcome = iota
	// Refused means that the target answered that it did not run the request.
	Refused
	// Answered means that the complete answer to this attempt was received.
	Answered
	// Unknown means that bytes were sent and no complete answer to this attempt was received.
	Unknown
)

// String returns the name of the outcome in logs and events.
func (o Outcome) String() string {
	switch o {
	case NotSent:
		return "notSent"
	case Refused:
		return "refused"
	case Answered:
		return "answered"
	default:
		return "unknown"
	}
}
