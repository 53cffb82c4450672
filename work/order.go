package work

// Answer is a target's response to an order.
type Answer int

// Responses of a target to an order.
const (
	// AnswerDone means that the order was carried out.
	AnswerDone Answer = iota
	// AnswerFenced means that the target has seen a higher fencing token.
	AnswerFenced
	// AnswerOld means that the target knows a later run of the item.
	AnswerOld
	// AnswerLate means that the lease in the order has expired.
	AnswerLate
	// AnswerRoom means that the item does not fit into the target's free capacity.
	AnswerRoom
	// AnswerTicket means that the ticket is not valid.
	AnswerTicket
	// AnswerInvalid means that the target could not parse the order.
	AnswerInvalid
	// AnswerUnhealthy means that the target is unhealthy and did nothing.
	AnswerUnhealthy
	// AnswerOther means that the address now belongs to another target.
	AnswerOther
)

// String returns the name that is used in logs.
func (a Answer) String() string {
	return [...]string{"done", "fenced", "old", "late", "room", "ticket", "invalid", "unhealthy", "other"}[a]
}

// Start is an order to run a work item.
type Start struct {
	Item       ItemID
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	// LeaseMs is the expiry of the lease on the target's clock; every run on the target ends when it expires.
	LeaseMs int64
	Token   int64
}

// Answered is the response to an order together with the target's clock at that time.
type Answered struct {
	Answer  Answer
	ClockMs int64
}

// RunningRow is a run in progress, as a target reports it.
type RunningRow struct {
	Item       ItemID
	Run        int
	Checkpoint string
	// Percent is the run's speed in percent of its full speed.
	Percent int
	// Figure is the tail latency in milliseconds of a serving item, and the CPU usage of any other item.
	Figure float64
}

// EndedRow is a finished run, which a target reports until it is acknowledged.
type EndedRow struct {
	Number     int64
	Item       ItemID
	Run        int
	End        End
	Checkpoint string
	// Foreign means that the reported identifier is not that of a work item.
	Foreign bool
}

// Listing is a target's response to the renewal of its lease.
type Listing struct {
	Answer  Answer
	ClockMs int64
	// BornMs is when this incarnation of the target started, in milliseconds since the Unix epoch.
	BornMs  int64
	Running []RunningRow
	Ended   []EndedRow
}
