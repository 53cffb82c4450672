package work

// HostOrderStatus is what the cloud said to the order for a host.
type HostOrderStatus int

// Answers to the order for a host.
const (
	// HostOrderDone means that the order is carried out, now or earlier.
	HostOrderDone HostOrderStatus = iota
	// HostOrderBusy means that the host is not up or leaves.
	HostOrderBusy
	// HostOrderNotInWave means that the wave does not name the host.
	HostOrderNotInWave
	// HostOrderFenced means that another holder has ordered with a higher number.
	HostOrderFenced
	// HostOrderInvalid means that there is no such host or pool.
	HostOrderInvalid
	// HostOrderOverloaded means that the cloud did nothing because it is overloaded.
	HostOrderOverloaded
)

// Ticket allows a target to run the items of a step.
type Ticket struct {
	Target TargetID
	Value string
}
