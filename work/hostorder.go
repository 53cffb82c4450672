package work

// HostOrderStatus is the cloud's response to an order for a host.
type HostOrderStatus int

// Statuses of an order for a host.
const (
	// HostOrderDone means that the order was carried out, now or by an earlier call.
	HostOrderDone HostOrderStatus = iota
	// HostOrderBusy means that the host is not up or is leaving.
	HostOrderBusy
	// HostOrderNotInWave means that the maintenance wave does not include the host.
	HostOrderNotInWave
	// HostOrderFenced means that another holder has used a higher fencing token.
	HostOrderFenced
	// HostOrderInvalid means that the host or the pool does not exist.
	HostOrderInvalid
	// HostOrderOverloaded means that the cloud is overloaded and did nothing; the order may be retried.
	HostOrderOverloaded
)

// Ticket permits a target to run the items of a step.
type Ticket struct {
	Target TargetID
	Value  string
}
