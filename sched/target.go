package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// minClockRate is the slowest rate of a target's clock; the platform promises that it is at most 2% slow.
const minClockRate = 0.98

// leaseMargin is the time that a target needs to end its runs once the lease has expired.
const leaseMargin = 200 * time.Millisecond

// target is a process that runs items, with the items that it may run.
type target struct {
	work.Target
	// listed means that the store holds an entry of the target.
	listed bool
	rack   string
	// reportedAt is when the target's last report was read.
	reportedAt time.Duration
	// acquired means that the target has answered a renewal with this holder's token in its present incarnation.
	acquired bool
	// incarnation is the start time of the target's present incarnation, 0 while unknown.
	incarnation int64
	used        work.Resources
	runs        []*item
	// unexpected holds the runs in the last renewal reply that this holder does not expect on the target.
	unexpected map[runKey]bool
	// orphanUsage is the total charge of runs in the last renewal reply that this holder does not expect on the target.
	orphanUsage work.Resources
	// clockMs is the target's clock in its last answer, which came at clockAt.
	clockMs int64
	clockAt time.Duration
	// readingMs is the target's clock in its last renewal reply, and readingSentAt when that renewal was sent, so that the clock showed less then.
	readingMs     int64
	readingSentAt time.Duration
	// leaseExpiresAt is when the target has certainly ended its runs unless its lease is renewed.
	leaseExpiresAt time.Duration
	// lastAppliedEnd is the sequence number of the last run end that was applied, lastRecordedEnd that of the last one that the store holds, and lastAcknowledgedEnd that of the last one that the target has been told to forget.
	lastAppliedEnd      int64
	lastRecordedEnd     int64
	lastAcknowledgedEnd int64
	// unreachable means that the last call to the target got no answer, and unreachableSince is when the first call without an answer since the last one with one ended.
	unreachable      bool
	unreachableSince time.Duration
	// missedCall means that a call has got no answer since the last renewal reply, so that the target may be a new incarnation.
	missedCall bool
	// answeredAt is when the target last answered in its present incarnation.
	answeredAt time.Duration
	// doubtful means that an answer since the last renewal reply may have come from a new incarnation.
	doubtful bool
	// quarantinedUntil is when the target may get new starts again after it was found unhealthy.
	quarantinedUntil time.Duration
	// quarantineLength is the length of the last quarantine, 0 after a success.
	quarantineLength time.Duration
	// lastFailedJob is the job of the last failed item, empty after a success. consecutiveFailures counts the failures since the last success; successive failures of one job count once.
	lastFailedJob       work.JobID
	consecutiveFailures int
	// bestEffortPercent is the pace of best-effort items in percent of full speed; tailExceeded means that a serving item exceeded its tail latency bound in the last renewal reply.
	bestEffortPercent int
	tailExceeded      bool
	// revoked holds runs of earlier incarnations whose starts may still be delivered.
	revoked []delayedStart
	// unanswered holds runs whose start got no answer and may still be delivered. The present incarnation would recognize the repeated start, but the next one does not know the run and would begin it.
	unanswered []delayedStart
	// cordoned means that the target gets no new starts because its host is about to be moved or maintained.
	cordoned bool
	// hostOrderIssued means that the order for the target's host has been issued.
	hostOrderIssued bool
	// drainOverdue means that the target's host has drained for its maintenance for longer than maxDrainWait.
	drainOverdue bool
	// maintenanceDue means that a wave has yet to maintain the target's host.
	maintenanceDue bool
	// reserved means that the target starts nothing but suspects; trial is the job whose suspects are tried there, and trialSince is since when.
	reserved   bool
	trial      *job
	trialSince time.Duration
	// heldUntil bounds the time for which the target keeps the room of evicted runs for work whose priority is heldPriority or a lower number.
	heldUntil    time.Duration
	heldPriority int
	// setAside means that this program cannot handle the target's replies.
	setAside bool
	// missingSince is when the first host list that lacks the unreachable target was requested, 0 while the list shows it.
	missingSince time.Duration
}

// runKey identifies a run.
type runKey struct {
	item work.ItemID
	run  int
}

// delayedStart is a start that may still be delivered after its call got no answer or its incarnation ended; stopOrderedAt is when a stop for it was last ordered.
type delayedStart struct {
	item             work.ItemID
	run              int
	deliverableUntil time.Duration
	stopOrderedAt    time.Duration
}

// free returns the capacity that is left.
func (t *target) free() work.Resources { return t.Capacity.Sub(t.used).Sub(t.orphanUsage) }

// forgetIncarnation forgets what the target has reported in an incarnation that is over.
func (t *target) forgetIncarnation() {
	t.answeredAt, t.doubtful = 0, false
	t.acquired, t.lastAppliedEnd, t.lastRecordedEnd, t.lastAcknowledgedEnd = false, 0, 0, 0
	t.clockAt, t.clockMs, t.readingMs, t.leaseExpiresAt = 0, 0, 0, 0
	t.orphanUsage, t.unexpected = work.Resources{}, nil
	t.incarnation = 0
}

// charge adds a run and its charge to the target.
func (t *target) charge(it *item) {
	t.used = t.used.Add(it.step.spec.Reservation())
	t.runs = append(t.runs, it)
}

// release removes a run and its charge from the target.
func (t *target) release(it *item) {
	for n, r := range t.runs {
		if r == it {
			last := len(t.runs) - 1
			t.runs[n] = t.runs[last]
			t.runs[last] = nil
			t.runs = t.runs[:last]
			t.used = t.used.Sub(it.step.spec.Reservation())
			return
		}
	}
}

// hasServingItem reports whether a serving item runs on the target.
func (t *target) hasServingItem() bool {
	for _, it := range t.runs {
		if it.step.spec.Serving {
			return true
		}
	}
	return false
}

// usable reports whether the target may get new starts that are not part of a trial.
func (t *target) usable(now time.Duration) bool { return !t.reserved && t.available(now) }

// available reports whether the target may get new starts.
func (t *target) available(now time.Duration) bool {
	return t.listed && t.acquired && !t.setAside && !t.Draining && !t.cordoned && !t.unreachable && len(t.revoked) == 0 && now >= t.quarantinedUntil
}

// extendLease returns the time on the target's clock until which a lease of the given length holds, or 0 while its clock is unknown, and notes when the lease has certainly expired.
func (t *target) extendLease(now, length time.Duration) int64 {
	if t.clockAt == 0 {
		return 0
	}
	elapsed := time.Duration(float64(now-t.clockAt) * minClockRate)
	until := t.clockMs + (elapsed + length).Milliseconds()
	// The clock showed clockMs at clockAt or earlier, and has run at the slowest rate since.
	expires := t.clockAt + time.Duration(float64(until-t.clockMs)/minClockRate)*time.Millisecond + leaseMargin
	t.leaseExpiresAt = max(t.leaseExpiresAt, expires)
	return until
}

// maxClockLag is how far a target's clock may be behind what its last answer and the slowest rate predict, since answers may overtake each other. That of a new incarnation is further behind, because it was down in between.
const maxClockLag = 50 * time.Millisecond

// recordAnswer notes that the target answered, and the clock in its answer. It returns false if the answer may come from a new incarnation, and so says nothing about the runs of the present one.
func (t *target) recordAnswer(clockMs int64, now time.Duration) bool {
	expected := t.clockMs + time.Duration(float64(now-t.clockAt)*minClockRate).Milliseconds()
	if t.clockAt > 0 && clockMs < expected-maxClockLag.Milliseconds() {
		t.doubtful = true
	}
	present := t.clockAt > 0 && !t.doubtful
	if present {
		t.answeredAt = now
	}
	t.unreachable = false
	if clockMs > 0 {
		t.clockMs, t.clockAt = clockMs, now
	}
	return present
}
