package work

// OrderStatus is a target's response to an order.
type OrderStatus int

// Statuses of an order to a target.
const (
	// OrderDone means that the order was carried out.
	OrderDone OrderStatus = iota
	// OrderFenced means that the target has seen a higher fencing token.
	OrderFenced
	// OrderSuperseded means that the target knows a later run of the item.
	OrderSuperseded
	// OrderLeaseExpired means that the lease in the order has expired.
	OrderLeaseExpired
	// OrderNoCapacity means that the item does not fit into the target's free capacity.
	OrderNoCapacity
	// OrderTicketInvalid means that the ticket is not valid.
	OrderTicketInvalid
	// OrderInvalid means that the target could not parse the order.
	OrderInvalid
	// OrderUnhealthy means that the target is unhealthy and did nothing.
	OrderUnhealthy
	// OrderWrongTarget means that the address now belongs to another target.
	OrderWrongTarget
)

// String returns the name that is used in logs.
func (s OrderStatus) String() string {
	return [...]string{"done", "fenced", "old", "late", "room", "ticket", "invalid", "unhealthy", "other"}[s]
}

// StartRequest is an order to run a work item.
type StartRequest struct {
	Item       ItemID
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	// LeaseExpiryMs is when the target's lease expires, on the target's clock; the target then ends all its runs.
	LeaseExpiryMs int64
	FencingToken  int64
}

// OrderReply is the response to an order together with the target's clock at that time.
type OrderReply struct {
	Status  OrderStatus
	ClockMs int64
}

// ActiveRun is a run in progress, as a target reports it.
type ActiveRun struct {
	Item       ItemID
	Run        int
	Checkpoint string
	// Percent is the speed of a serving item in percent of its full speed, and the part of its work that any other item has done.
	Percent int
	// Metric is the tail latency in milliseconds of a serving item, and the CPU usage of any other item.
	Metric float64
}

// EndedRun is a finished run, which a target reports until it is acknowledged.
type EndedRun struct {
	Sequence   int64
	Item       ItemID
	Run        int
	Outcome    RunOutcome
	Checkpoint string
	// UnknownItem means that the reported identifier does not name a work item.
	UnknownItem bool
}

// RenewalReply is a target's response to the renewal of its lease.
type RenewalReply struct {
	Status  OrderStatus
	ClockMs int64
	// StartedMs is when this incarnation of the target started, in milliseconds since the Unix epoch.
	StartedMs int64
	// Running lists all active runs, and Ended the first of those that have ended and are not acknowledged.
	Running []ActiveRun
	Ended   []EndedRun
	// MoreEnds means that runs may have ended that Ended does not list, because a reply lists a limited number of them.
	MoreEnds bool
}
