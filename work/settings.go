package work

import "time"

// Settings holds what the platform configures for each process.
type Settings struct {
	Node   string
	Zone   string
	Front  string
	Ready  string
	Admin  string
	IP     string
	Ports  [2]int
	Seeds  []string
	Store  StoreLimits
	Cloud  CloudLimits
	Bounds Bounds
	// AdviceAddress is the address of the service that decides which targets may run a step; empty if there is none.
	AdviceAddress string
	// HeartbeatMs is the interval at which targets report themselves to the store.
	HeartbeatMs int64
	// ByHeartbeat means that targets fetch their orders with their heartbeats instead of being called.
	ByHeartbeat bool
	Tolerance   Tolerance
	MemoryMB    int
	CPUShare    float64
	// LinkMbps is the bandwidth of the host's network link, 0 if unknown.
	LinkMbps float64
}

// Tolerance is the number of simultaneous failures that must be survived.
type Tolerance struct {
	Hosts int
	Zones int
}

// StoreLimits holds the address and the limits of the platform's store.
type StoreLimits struct {
	Address       string
	WritesPerS    float64
	ReadsPerS     float64
	RecordBytes   int
	RequestBytes  int
	MinTTL        time.Duration
	AppendLatency time.Duration
}

// CloudLimits holds the address and the limits of the service that lists and changes hosts.
type CloudLimits struct {
	Address      string
	ReadsPerS    float64
	ActionsPerS  float64
	FencesOrders bool
}

// Bounds holds the limits that the platform states for its own behavior and requires of this process.
type Bounds struct {
	// MaxLease is the longest lease that a target grants.
	MaxLease time.Duration
	// Stop is the longest time that stopping a run takes.
	Stop time.Duration
	// Gang is how long a gang item waits for the other items of its gang.
	Gang time.Duration
	// Visible is how soon every process must know an accepted job.
	Visible time.Duration
	// Drain is the shortest time that a draining target keeps running.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Early is how long before its due time an occurrence may start.
	Early time.Duration
	// Status is how long the state of a finished job stays available.
	Status time.Duration
	// Config is how soon a configuration change must be in force.
	Config time.Duration
	// Cancel is how soon after a cancellation no item of the job may start.
	Cancel time.Duration
	// Notice is how soon the failure of a serving item must be detected.
	Notice time.Duration
	// Move and Upkeep are how long a host is unavailable during a move and during maintenance.
	Move   time.Duration
	Upkeep time.Duration
	// HolderLease is the time that must pass before another holder may order changes of the same host.
	HolderLease time.Duration
	// Interference is how long a serving item may exceed its tail latency limit.
	Interference time.Duration
	// Restore is how long it takes to start from a checkpoint.
	Restore time.Duration
	// RemoteFactor is the factor by which items outside their data's rack take longer.
	RemoteFactor float64
	// CapSlack is the fraction by which a team may exceed its cap.
	CapSlack float64
}
