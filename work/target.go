package work

// TargetID identifies one executor.
type TargetID string

// Target is what an executor says of itself in the store.
type Target struct {
	ID      TargetID
	Pool    string
	Address string
	Zone    string
	// Draining targets take nothing new and leave soon.
	Draining bool
	// WarmupRemainingMs is how much longer the target is slow after its start.
	WarmupRemainingMs   int64
	Capacity Resources
	Labels   []string
	// StartedMs is the start of this life in milliseconds since 1970, 0 if not said.
	StartedMs int64
	// DrainRemainingMs is the least time that a draining target has left.
	DrainRemainingMs int64
}

// Rack returns the label that names the target's rack, which follows its kind.
func (t *Target) Rack() string {
	if len(t.Labels) < 2 {
		return ""
	}
	return t.Labels[1]
}

// HasLabel reports whether the target carries the label.
func (t *Target) HasLabel(label string) bool {
	for _, l := range t.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// HostState is where a host stands in the cloud's list.
type HostState string

// States of a host.
const (
	HostUp     HostState = "up"
	HostMoving HostState = "moving"
	HostMaintenance HostState = "upkeep"
	HostDown   HostState = "down"
)

// Host is a machine of the cloud's list.
type Host struct {
	Name     string
	Pool     string
	State    HostState
	Zone     string
	Labels   []string
	Capacity Resources
	// Target is the executor of the host's present life, if it has one.
	Target TargetID
}

// Wave asks for the upkeep of hosts until a deadline, at most Cap at once.
type Wave struct {
	Number int64
	Hosts  []string
	// DeadlineS is in seconds from the wave's announcement.
	DeadlineS float64
	MaxConcurrent       int
}
