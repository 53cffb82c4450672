package work

// State is what a caller is told of a job.
type State int

// States of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// String names the state in logs.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Final reports whether the state never changes any more.
func (s State) Final() bool { return s >= Completed }

// RunOutcome is how a run ended.
type RunOutcome int

// Ends of a run.
const (
	// RunOutcomeUnknown is an end of a kind that this version does not know.
	RunOutcomeUnknown RunOutcome = iota
	// RunDone completes the item.
	RunDone
	// RunFailed counts as an attempt.
	RunFailed
	// RunStopped follows a stop.
	RunStopped
	// RunLeaseExpired means that the lease expired.
	RunLeaseExpired
	// RunGangBroken means that another member of the gang ended.
	RunGangBroken
	// RunGangIncomplete means that the other members of the gang did not come.
	RunGangIncomplete
)

// String names the end in logs.
func (e RunOutcome) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[e]
}
