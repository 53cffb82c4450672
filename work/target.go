package work

import "slices"

// TargetID identifies a target.
type TargetID string

// Target is an executor of work items, as it describes itself in the store.
type Target struct {
	ID      TargetID
	Pool    string
	Address string
	Zone    string
	// Draining targets accept no new items and shut down soon.
	Draining bool
	// WarmupRemainingMs is how much longer the target runs slowly after its start.
	WarmupRemainingMs int64
	Capacity          Resources
	Labels            []string
	// StartedMs is when this incarnation started, in milliseconds since the Unix epoch; 0 if unknown.
	StartedMs int64
	// DrainRemainingMs is the shortest time until a draining target shuts down.
	DrainRemainingMs int64
}

// Rack returns the target's rack, which is the second label; the first one is the kind of the target.
func (t *Target) Rack() string {
	if len(t.Labels) < 2 {
		return ""
	}
	return t.Labels[1]
}

// HasLabel reports whether the target has the label.
func (t *Target) HasLabel(label string) bool {
	for _, l := range t.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// HostState is the state of a host in the cloud's list.
type HostState string

// States of a host.
const (
	HostUp          HostState = "up"
	HostMoving      HostState = "moving"
	HostMaintenance HostState = "upkeep"
	HostDown        HostState = "down"
)

// Host is a machine in the cloud's list.
type Host struct {
	Name     string
	Pool     string
	State    HostState
	Zone     string
	Labels   []string
	Capacity Resources
	// Target is the target that currently runs on the host, if any.
	Target TargetID
}

// Wave is a request to maintain hosts by a deadline, at most MaxConcurrent of them at once.
type Wave struct {
	Number int64
	Hosts  []string
	// DeadlineS is in seconds after the announcement of the wave.
	DeadlineS     float64
	MaxConcurrent int
	// Offset is that of the wave's record in the operators' topic; a record with a higher one replaces it.
	Offset int64
}

// SameTerms reports whether two records of a wave name the same hosts, deadline and number of hosts at once.
func (w Wave) SameTerms(other Wave) bool {
	return w.Number == other.Number && w.DeadlineS == other.DeadlineS && w.MaxConcurrent == other.MaxConcurrent && slices.Equal(w.Hosts, other.Hosts)
}
