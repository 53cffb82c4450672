package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// clockSlowness is the least speed of a target's clock, from the platform's promise of at most 2% slowness.
const clockSlowness = 0.98

// leaseMargin covers what a target needs to end its runs once the lease has expired.
const leaseMargin = 200 * time.Millisecond

// target is one executor and what runs on it.
type target struct {
	work.Target
	// listed means that the store holds an entry of it.
	listed bool
	rack   string
	// held means that it has answered a renewal with this holder's token in its present life.
	held bool
	// born is the start of its present life, 0 while unknown.
	born int64
	used work.Resources
	runs []*item
	// strays are amounts of runs that it lists and that should not be there.
	strays work.Resources
	// clockMs is its clock at its last answer, which came at clockAt.
	clockMs int64
	clockAt time.Duration
	// expireBy is when nothing can run on it any more if it hears nothing further.
	expireBy time.Duration
	// seen is the number of the last end that was applied, recorded the last one that the store holds.
	seen     int64
	recorded int64
	// silent means that its last call got no answer.
	silent bool
	// restUntil is when it may get new starts again after it was found unwell.
	restUntil time.Duration
	restFor   time.Duration
	// lastFailed is the job whose item failed last without any success since.
	lastFailed work.JobID
	failures   int
	// pacing is the share of their speed that filling items get, in percent; harmed means that a serving item was over its bound at the last listing.
	pacing int
	harmed bool
	// voided holds the runs of earlier lives whose orders may still come.
	voided []voidedRun
	// unsettled holds runs of which an unanswered start may still come; it does no harm in this life, but in the next one, which knows nothing of it.
	unsettled []voidedRun
	// leaving means that its host is about to be moved or maintained.
	leaving bool
	// leavingNow means that the order for its host has been given.
	leavingNow bool
	// upkeepDue means that its host is still to be maintained for a wave.
	upkeepDue bool
	// missingSince is when the list of hosts was first asked for that does not show the silent target, 0 while it shows it.
	missingSince time.Duration
}

// voidedRun is a run of an earlier life that has to be kept from beginning.
type voidedRun struct {
	item      work.ItemID
	run       int
	until     time.Duration
	orderedAt time.Duration
}

// free is what the target can still take.
func (t *target) free() work.Resources { return t.Capacity.Sub(t.used).Sub(t.strays) }

func (t *target) charge(i *item) {
	t.used = t.used.Add(i.step.spec.Reservation())
	t.runs = append(t.runs, i)
}

func (t *target) release(i *item) {
	for n, r := range t.runs {
		if r == i {
			last := len(t.runs) - 1
			t.runs[n] = t.runs[last]
			t.runs[last] = nil
			t.runs = t.runs[:last]
			t.used = t.used.Sub(i.step.spec.Reservation())
			return
		}
	}
}

// usable reports whether the target may get new starts.
func (t *target) usable(now time.Duration) bool {
	return t.listed && t.held && !t.Draining && !t.leaving && !t.silent && len(t.voided) == 0 && now >= t.restUntil
}

// leaseUntil returns the time on the target's clock to which a lease of the given length may run, or 0 while its clock is not known.
func (t *target) leaseUntil(now, length time.Duration) int64 {
	if t.clockAt == 0 {
		return 0
	}
	elapsed := time.Duration(float64(now-t.clockAt) * clockSlowness)
	until := t.clockMs + (elapsed + length).Milliseconds()
	// The clock showed clockMs at clockAt or before, and runs at its slowest from there.
	lapse := t.clockAt + time.Duration(float64(until-t.clockMs)/clockSlowness)*time.Millisecond + leaseMargin
	t.expireBy = max(t.expireBy, lapse)
	return until
}

// heard notes an answer and the target's clock in it.
func (t *target) heard(clockMs int64, now time.Duration) {
	t.silent = false
	if clockMs > 0 {
		t.clockMs, t.clockAt = clockMs, now
	}
}
