package sched

import (
	"fmt"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// applyEnd applies the end of the run that is assigned to the item.
func (t *Table) applyEnd(it *item, outcome work.RunOutcome, checkpoint string, now time.Duration) {
	tgt := it.target
	j := it.step.job
	timed := it.isTimed(tgt)
	t.countEvicted(it, outcome, checkpoint, now)
	t.detach(it)
	if checkpoint != "" {
		it.checkpoint = checkpoint
	}
	switch outcome {
	case work.RunDone:
		tgt.consecutiveFailures, tgt.lastFailedJob, tgt.quarantineLength = 0, "", 0
		if it.step.spec.Serving {
			t.clearOfAll(it)
			t.requeue(it, now)
			return
		}
		t.observeRun(it, timed, now)
		t.completeItem(it, now)
		return
	case work.RunFailed:
		t.clearOfAll(it)
		it.failures++
		it.lastFailedOn = tgt
		t.countFailure(tgt, j, now)
		if !it.step.spec.Serving && it.failures >= max(j.queue.MaxAttempts, 1) && j.active() {
			t.logEvent("failed", it.id.String(), string(tgt.ID), "attempts used up")
			t.requeue(it, now)
			t.finishJob(j, work.Failed, now)
			t.stopAllRuns(j, now)
			return
		}
	}
	t.logEvent("ended", it.id.String(), string(tgt.ID), outcome.String())
	t.requeue(it, now)
}

// completeAfterRequeue completes an item whose run succeeded after the item had been requeued. If a later run has been ordered, the item stays assigned to it and is completed by its end.
func (t *Table) completeAfterRequeue(it *item, now time.Duration) {
	if it.step.spec.Serving || !it.step.job.active() || it.state == itemOrdered {
		return
	}
	it.state = itemWaiting
	t.completeItem(it, now)
}

// completeItem marks an item as complete, so that it does not run again, and completes its job after the last item.
func (t *Table) completeItem(it *item, now time.Duration) {
	s, j := it.step, it.step.job
	if it.state == itemWaiting {
		s.waiting--
	}
	it.state = itemEnded
	s.unfinished--
	s.occurrence.unfinished--
	t.clearOfAll(it)
	t.markDirty(j)
	if s.spec.Gang {
		t.completeGang(s, now)
	}
	if s.occurrence.unfinished == 0 && j.active() && t.allOccurrencesDone(j) {
		t.finishJob(j, work.Completed, now)
	}
}

// completeGang ends the other items of a gang, because the success of one completes them all.
func (t *Table) completeGang(s *step, now time.Duration) {
	for other := range s.all() {
		if other.state == itemEnded {
			continue
		}
		if other.state == itemOrdered {
			t.orderStop(other, now)
		}
		if other.state == itemWaiting {
			s.waiting--
		}
		if tgt := other.target; tgt != nil {
			t.detach(other)
			// The member uses its room until the target's next reply shows whether it has ended.
			tgt.orphanUsage = tgt.orphanUsage.Add(s.spec.Reservation())
		}
		other.state = itemEnded
		t.clearOfAll(other)
		s.unfinished--
		s.occurrence.unfinished--
	}
}

func (t *Table) allOccurrencesDone(j *job) bool {
	if j.nextOccurrence < j.occurrenceCount() {
		return false
	}
	for _, o := range j.occurrences {
		if o.unfinished > 0 {
			return false
		}
	}
	return true
}

// finishJob sets the job's final state.
func (t *Table) finishJob(j *job, state work.State, now time.Duration) {
	j.state = state
	j.endedMs, j.endedAt = t.wallMs(now), now
	t.markDirty(j)
	t.logEvent("finished", string(j.record.ID), state.String(), fmt.Sprintf("tookMs=%d queue=%s team=%s", (now-j.acceptedAt).Milliseconds(), j.record.Queue, j.record.Team))
}

// minQuarantine is how long a target is quarantined the first time; each further time is twice as long, up to maxQuarantine.
const (
	minQuarantine = 2 * time.Second
	maxQuarantine = 8 * time.Second
)

// quarantineAfterFailures is how many consecutive failures quarantine a target. Successive failures of one job count once, because the job itself may be at fault.
const quarantineAfterFailures = 2

// countFailure counts a failed item against the target, unless the failure before it was of the same job.
func (t *Table) countFailure(tgt *target, j *job, now time.Duration) {
	if tgt.lastFailedJob == j.record.ID {
		return
	}
	tgt.lastFailedJob = j.record.ID
	tgt.consecutiveFailures++
	if tgt.consecutiveFailures >= quarantineAfterFailures {
		t.quarantine(tgt, now, "fails what it runs")
	}
}

// quarantine keeps new starts from a target for a limited time. Each quarantine is twice as long as the one before, up to maxQuarantine; a success on the target resets the length.
func (t *Table) quarantine(tgt *target, now time.Duration, cause string) {
	if now < tgt.quarantinedUntil {
		return
	}
	tgt.quarantineLength = min(max(tgt.quarantineLength*2, minQuarantine), maxQuarantine)
	tgt.quarantinedUntil = now + tgt.quarantineLength
	t.logEvent("resting", string(tgt.ID), cause, tgt.quarantineLength.String())
}
