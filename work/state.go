package work

// State is the state of a job as reported to callers.
type State int

// States of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// String returns the name that callers and logs see.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s >= Completed }

// RunOutcome is how a run ended.
type RunOutcome int

// Outcomes of a run.
const (
	// RunOutcomeUnknown is an outcome that this version does not recognize.
	RunOutcomeUnknown RunOutcome = iota
	// RunDone means that the item is complete.
	RunDone
	// RunFailed means that the run failed, which counts as an attempt.
	RunFailed
	// RunStopped means that the run was stopped by an order.
	RunStopped
	// RunLeaseExpired means that the target's lease expired.
	RunLeaseExpired
	// RunGangBroken means that another item of the gang ended.
	RunGangBroken
	// RunGangIncomplete means that the other items of the gang did not start in time.
	RunGangIncomplete
)

// String returns the name that targets and logs use.
func (o RunOutcome) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[o]
}
