package work

import "time"

// Settings are what the platform tells a process at its start.
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
	// AdviceAddress serves advice on targets, if not empty.
	AdviceAddress string
	// HeartbeatMs is the interval of the targets' own reports.
	HeartbeatMs int64
	// ByHeartbeat means that targets fetch their orders instead of being called.
	ByHeartbeat bool
	Tolerance   Tolerance
	MemoryMB    int
	CPUShare    float64
	// LinkMbps is the host's link in megabits a second, 0 if it is not known.
	LinkMbps float64
}

// Tolerance is how much may be lost at once.
type Tolerance struct {
	Hosts int
	Zones int
}

// StoreLimits describe the platform's store.
type StoreLimits struct {
	Address       string
	WritesPerS    float64
	ReadsPerS     float64
	RecordBytes   int
	RequestBytes  int
	MinTTL        time.Duration
	AppendLatency time.Duration
}

// CloudLimits describe the service that lists and changes hosts.
type CloudLimits struct {
	Address      string
	ReadsPerS    float64
	ActionsPerS  float64
	FencesOrders bool
}

// Bounds are the platform's time bounds that decisions rest on.
type Bounds struct {
	// MaxLease is the longest lease that a target grants.
	MaxLease time.Duration
	// Stop is the longest time that a stop takes.
	Stop time.Duration
	// Gang is how long a gang's member waits for the others.
	Gang time.Duration
	// Visible is when an accepted job has to be known everywhere.
	Visible time.Duration
	// Drain is how long a draining target goes on at least.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Early is how much before its time an occurrence may start.
	Early time.Duration
	// Status is how long a finished job's state is kept.
	Status time.Duration
	// Config is when a change has to be in force.
	Config time.Duration
	// Cancel is when no item of a cancelled job may start any more.
	Cancel time.Duration
	// Notice is how long an unavailable serving item may go unnoticed.
	Notice time.Duration
	// Move and Upkeep are how long a host is away for either.
	Move   time.Duration
	Upkeep time.Duration
	// HolderLease is how long two holders may not order the same host.
	HolderLease time.Duration
	// Interference is how long a serving item may be over its bound.
	Interference time.Duration
	// Restore is how long a start from a checkpoint takes.
	Restore time.Duration
	// RemoteFactor is how much slower items run away from their data's rack.
	RemoteFactor float64
	// CapSlack is the share by which a team may exceed its cap.
	CapSlack float64
}
