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
	// busyUntil is when the last of the items that were started here is expected to end, by learned run times.
	busyUntil time.Duration
	runs      []*item
	// unexpected holds the runs in the last renewal reply that this holder does not expect on the target, and when their stops were last ordered.
	unexpected map[runKey]time.Duration
	// replies counts the renewal replies whose runs were applied.
	replies int64
	// orphanUsage is the total charge of runs in the last renewal reply that this holder does not expect on the target.
	orphanUsage work.Resources
	// clockMs is the target's clock in its last answer, which came at clockAt.
	clockMs int64
	clockAt time.Duration
	// readingMs is the target's clock in its last renewal reply, and readingSentAt when that renewal was sent, so that the clock showed less then.
	readingMs     int64
	readingSentAt time.Duration
	// leaseExpiresAt is when the lease has certainly expired that the target is known to have got, or to be left with from an earlier holder or incarnation. leasePossibleUntil is the same of the leases that unanswered calls may have granted, and leaseCalls holds the calls under way, see leaseEnd.
	leaseExpiresAt, leasePossibleUntil time.Duration
	leaseCalls                         []leaseCall
	lastLeaseCall                      LeaseCall
	// restarted means that calls may have carried leases by the clock of a former incarnation, and no renewal has been answered since.
	restarted bool
	// leaseUnconfirmed means that a call has got no answer, or a renewal was refused, since the last answer. leaseAskedAt is when the last call before that with a lease was prepared.
	leaseUnconfirmed bool
	leaseAskedAt     time.Duration
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
	// hostZone is the zone of the target's host by the host list, empty if it is not known.
	hostZone string
	// evacuated means that operators have evacuated the target's zone, so that it gets no new starts.
	evacuated bool
	// hostOrderIssued means that the order for the target's host has been issued.
	hostOrderIssued bool
	// drainOverdue means that the target's host has drained for its maintenance for longer than maxDrainWait.
	drainOverdue bool
	// consolidating means that the target's host is drained to bring its serving items to other hosts.
	consolidating bool
	// maintenanceDue means that a wave has yet to maintain the target's host.
	maintenanceDue bool
	// reserved means that the target starts nothing but suspects; trial is the job whose suspects are tried there, and trialSince is since when.
	reserved   bool
	trial      *job
	trialSince time.Duration
	// disputed means that the target's entry contradicts it, so that it may be a new incarnation, and disputedAt is when the last such dispute began.
	disputed   bool
	disputedAt time.Duration
	// trialIdleSince is since when the reserved target has been without a trial, 0 during one.
	trialIdleSince time.Duration
	// withheld means that in the last plan an item that needs no trial found no room, but would have found it here without the reservation; withheldSince is since when that has been so in each plan, 0 if it was not so in the last one.
	withheld      bool
	withheldSince time.Duration
	// noTrialBefore is when the target may be reserved again after a reservation that withheld it for too long.
	noTrialBefore time.Duration
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
	t.restarted = t.restarted || t.clockAt != 0
	t.acquired, t.lastAppliedEnd, t.lastRecordedEnd, t.lastAcknowledgedEnd = false, 0, 0, 0
	t.clockAt, t.clockMs, t.readingMs, t.leaseExpiresAt, t.leasePossibleUntil, t.leaseAskedAt = 0, 0, 0, 0, 0, 0
	t.leaseCalls = nil
	t.orphanUsage, t.unexpected = work.Resources{}, nil
	t.incarnation = 0
}

// charge adds a run and its charge to the target.
func (t *target) charge(it *item) {
	t.used = t.used.Add(it.step.spec.Reservation())
	t.runs = append(t.runs, it)
	it.listedIn = 0
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
	return t.listed && t.acquired && !t.setAside && !t.Draining && !t.cordoned && !t.evacuated && !t.unreachable && !t.disputed && len(t.revoked) == 0 && now >= t.quarantinedUntil
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
