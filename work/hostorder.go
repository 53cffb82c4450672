package work

// HostAnswer is the cloud's response to an order for a host.
type HostAnswer int

// Responses of the cloud to an order for a host.
const (
	// HostDone means that the order was carried out, now or by an earlier call.
	HostDone HostAnswer = iota
	// HostBusy means that the host is not up or is leaving.
	HostBusy
	// HostNotOfWave means that the maintenance wave does not include the host.
	HostNotOfWave
	// HostFenced means that another holder has used a higher fencing token.
	HostFenced
	// HostInvalid means that the host or the pool does not exist.
	HostInvalid
	// HostLater means that the cloud is overloaded and did nothing; the order may be retried.
	HostLater
)

// Ticket permits a target to run the items of a step.
type Ticket struct {
	Target TargetID
	Ticket string
}
