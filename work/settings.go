package work

import "time"

// Settings holds what the platform configures for each process.
type Settings struct {
	Node             string
	Zone             string
	FrontAddress     string
	ReadinessAddress string
	ControlAddress   string
	IP               string
	InternalPorts    [2]int
	Seeds            []string
	Store            StoreLimits
	Cloud            CloudLimits
	Bounds           Bounds
	// AdvisorAddress is the address of the service that decides which targets may run a step; empty if there is none.
	AdvisorAddress string
	// HeartbeatMs is the interval at which targets report themselves to the store.
	HeartbeatMs int64
	// OrdersByHeartbeat means that targets fetch their orders with their heartbeats instead of being called.
	OrdersByHeartbeat bool
	FaultTolerance    FaultTolerance
	MemoryMB          int
	CPUShare          float64
	// LinkMbps is the bandwidth of the host's network link, 0 if unknown.
	LinkMbps float64
}

// FaultTolerance is the number of simultaneous failures that must be survived.
type FaultTolerance struct {
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
	Address         string
	ReadsPerS       float64
	ActionsPerS     float64
	EnforcesFencing bool
}

// Bounds holds the limits that the platform states for its own behavior and requires of this process.
type Bounds struct {
	// ContactTime is how soon processes that reach each other must know what the others have reported.
	ContactTime time.Duration
	// ReportInterval is the interval at which targets report themselves to the store.
	ReportInterval time.Duration
	// MaxLease is the longest lease that a target grants.
	MaxLease time.Duration
	// MaxStopTime is the longest time that stopping a run takes.
	MaxStopTime time.Duration
	// GangTimeout is how long a gang item waits for the other items of its gang.
	GangTimeout time.Duration
	// JobVisibility is how soon every process must know an accepted job.
	JobVisibility time.Duration
	// MinDrainTime is the shortest time that a draining target keeps running.
	MinDrainTime time.Duration
	// ShutdownGrace is the time between SIGTERM and SIGKILL.
	ShutdownGrace time.Duration
	// MaxEarlyStart is how long before its due time an occurrence may start.
	MaxEarlyStart time.Duration
	// StatusRetention is how long the state of a finished job stays available.
	StatusRetention time.Duration
	// ConfigApply is how soon a configuration change must be in force.
	ConfigApply time.Duration
	// EvacuationApply is how soon after its confirmation no start may reach an evacuated zone, 0 if the platform evacuates no zones.
	EvacuationApply time.Duration
	// CancelApply is how soon after a cancellation no item of the job may start.
	CancelApply time.Duration
	// FailureDetection is how soon the unavailability of a serving item must be detected.
	FailureDetection time.Duration
	// MoveTime and MaintenanceTime are how long a host is unavailable during a move and during maintenance.
	MoveTime        time.Duration
	MaintenanceTime time.Duration
	// HostTakeoverDelay is the time that must pass before another holder may order changes of the same host.
	HostTakeoverDelay time.Duration
	// MaxInterference is how long a serving item may exceed its tail latency limit.
	MaxInterference time.Duration
	// RestoreTime is how long it takes to start from a checkpoint.
	RestoreTime time.Duration
	// RemoteSlowdown is the factor by which items outside their data's rack take longer.
	RemoteSlowdown float64
	// CapOverage is the fraction by which a team may exceed its cap.
	CapOverage float64
}
