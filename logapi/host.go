package logapi

import "context"

// HostState is the state of a host in the platform's host list.
type HostState string

// States of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostStatus is the entry of one host in the platform's host list, which may be outdated.
type HostStatus struct {
	Name    string    `json:"name"`
	Zone    string    `json:"zone"`
	Rack    string    `json:"rack"`
	Address string    `json:"address"`
	State   HostState `json:"state"`
}

// HostList is the platform's list of live and leaving hosts, which may be outdated.
type HostList interface {
	// Hosts returns the list as the platform has it now.
	Hosts(ctx context.Context) ([]HostStatus, error)
}
