package plat

import "context"

// HostState is what the platform says of a host.
type HostState string

// The states of the platform's host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostStatus is one line of the platform's host list, which lags behind the truth.
type HostStatus struct {
	Name    string    `json:"name"`
	Zone    string    `json:"zone"`
	Rack    string    `json:"rack"`
	Address string    `json:"address"`
	State   HostState `json:"state"`
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	// Hosts returns the list as the platform has it now.
	Hosts(ctx context.Context) ([]HostStatus, error)
}
