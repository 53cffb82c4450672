package work

import "time"

// Settings are what the platform tells a process at its start.
type Settings struct {
	Node   string
	Zone   string
	FrontAddress  string
	ReadinessAddress  string
	ControlAddress  string
	IP     string
	InternalPorts  [2]int
	Seeds  []string
	Store  StoreLimits
	Cloud  CloudLimits
	Bounds Bounds
	// AdvisorAddress serves advice on targets, if not empty.
	AdvisorAddress string
	// HeartbeatMs is the interval of the targets' own reports.
	HeartbeatMs int64
	// OrdersByHeartbeat means that targets fetch their orders instead of being called.
	OrdersByHeartbeat bool
	FaultTolerance   FaultTolerance
	MemoryMB    int
	CPUShare    float64
	// LinkMbps is the host's link in megabits a second, 0 if it is not known.
	LinkMbps float64
}

// FaultTolerance is how much may be lost at once.
type FaultTolerance struct {
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
	EnforcesFencing bool
}

// Bounds are the platform's time bounds that decisions rest on.
type Bounds struct {
	// MaxLease is the longest lease that a target grants.
	MaxLease time.Duration
	// MaxStopTime is the longest time that a stop takes.
	MaxStopTime time.Duration
	// GangTimeout is how long a gang's member waits for the others.
	GangTimeout time.Duration
	// JobVisibility is when an accepted job has to be known everywhere.
	JobVisibility time.Duration
	// MinDrainTime is how long a draining target goes on at least.
	MinDrainTime time.Duration
	// ShutdownGrace is the time between SIGTERM and SIGKILL.
	ShutdownGrace time.Duration
	// MaxEarlyStart is how much before its time an occurrence may start.
	MaxEarlyStart time.Duration
	// StatusRetention is how long a finished job's state is kept.
	StatusRetention time.Duration
	// ConfigApply is when a change has to be in force.
	ConfigApply time.Duration
	// CancelApply is when no item of a cancelled job may start any more.
	CancelApply time.Duration
	// FailureDetection is how long an unavailable serving item may go unnoticed.
	FailureDetection time.Duration
	// MoveTime and Upkeep are how long a host is away for either.
	MoveTime   time.Duration
	MaintenanceTime time.Duration
	// HostTakeoverDelay is how long two holders may not order the same host.
	HostTakeoverDelay time.Duration
	// MaxInterference is how long a serving item may be over its bound.
	MaxInterference time.Duration
	// RestoreTime is how long a start from a checkpoint takes.
	RestoreTime time.Duration
	// RemoteSlowdown is how much slower items run away from their data's rack.
	RemoteSlowdown float64
	// CapOverage is the share by which a team may exceed its cap.
	CapOverage float64
}
