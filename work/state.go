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

// End is the way a run ended.
type End int

// Ways in which a run ends.
const (
	// EndUnknown is an end that this version does not recognize.
	EndUnknown End = iota
	// EndDone means that the item is complete.
	EndDone
	// EndFailed means that the run failed, which counts as an attempt.
	EndFailed
	// EndStopped means that the run was stopped by an order.
	EndStopped
	// EndLapsed means that the target's lease expired.
	EndLapsed
	// EndBroken means that another item of the gang ended.
	EndBroken
	// EndAlone means that the other items of the gang did not start in time.
	EndAlone
)

// String returns the name that targets and logs use.
func (e End) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[e]
}
