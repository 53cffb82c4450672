package work

// OrderStatus is what a target said to an order.
type OrderStatus int

// Answers to an order.
const (
	// OrderDone means that the order is carried out.
	OrderDone OrderStatus = iota
	// OrderFenced means that the target has seen a higher fencing token.
	OrderFenced
	// OrderSuperseded means that a later run is known there.
	OrderSuperseded
	// OrderLeaseExpired means that the lease in the order has expired.
	OrderLeaseExpired
	// OrderNoCapacity means that the item does not fit.
	OrderNoCapacity
	// OrderTicketInvalid means that the ticket is not valid.
	OrderTicketInvalid
	// OrderInvalid means that the order cannot be read.
	OrderInvalid
	// OrderUnhealthy means that the target did nothing because it is not well.
	OrderUnhealthy
	// OrderWrongTarget means that another target has the address.
	OrderWrongTarget
)

// String names the answer in logs.
func (a OrderStatus) String() string {
	return [...]string{"done", "fenced", "old", "late", "room", "ticket", "invalid", "unhealthy", "other"}[a]
}

// StartRequest orders a target to run a work item.
type StartRequest struct {
	Item       ItemID
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	// LeaseExpiryMs is the time on the target's clock until which everything on it may run.
	LeaseExpiryMs int64
	FencingToken   int64
}

// OrderReply is the answer to an order and the target's clock at that time.
type OrderReply struct {
	Status  OrderStatus
	ClockMs int64
}

// ActiveRun is a run that a target lists.
type ActiveRun struct {
	Item       ItemID
	Run        int
	Checkpoint string
	// SpeedPercent is the share of its speed at which the run works.
	SpeedPercent int
	// Metric is the tail in milliseconds of a serving item, or the CPU in use of another one.
	Metric float64
}

// EndedRun is an end that a target lists until it is acknowledged.
type EndedRun struct {
	Sequence     int64
	Item       ItemID
	Run        int
	Outcome        RunOutcome
	Checkpoint string
	// UnknownItem rows name no work item.
	UnknownItem bool
}

// RenewalReply is a target's answer to a renewal of its lease.
type RenewalReply struct {
	Status  OrderStatus
	ClockMs int64
	// StartedMs is the start of the target's life in milliseconds since 1970.
	StartedMs  int64
	Running []ActiveRun
	Ended   []EndedRun
}
