package conns

// Outcome is what is known of one try after it ended.
type Outcome int

// The outcomes of a try.
const (
	// NotSent means that no byte reached the target.
	NotSent Outcome = iota
	// Refused means that the target said it did not run the request.
	Refused
	// Answered means that the target's whole answer to this very try arrived.
	Answered
	// Unknown means that bytes were sent and no whole answer of this try came back.
	Unknown
)

// String returns the outcome's name in logs and events.
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
