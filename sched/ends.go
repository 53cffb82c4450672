package sched

import (
	"fmt"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// ended applies the end of an item's present run.
func (t *Table) ended(it *item, end work.RunOutcome, checkpoint string, now time.Duration) {
	row := it.target
	j := it.step.job
	t.detach(it)
	if checkpoint != "" {
		it.checkpoint = checkpoint
	}
	switch end {
	case work.RunDone:
		row.failures, row.lastFailed, row.restFor = 0, "", 0
		if it.step.spec.Serving {
			t.again(it, now)
			return
		}
		if it.run == 1 {
			t.past(j.queue.Name).observe(now-it.orderedAt, it.step.spec.EstimateMs)
		}
		t.done(it, now)
		return
	case work.RunFailed:
		it.failures++
		it.avoid = row
		t.blame(row, j, now)
		if !it.step.spec.Serving && it.failures >= max(j.queue.MaxAttempts, 1) && j.active() {
			t.note("failed", it.id.String(), string(row.ID), "attempts used up")
			t.again(it, now)
			t.finish(j, work.Failed, now)
			t.stopAll(j, now)
			return
		}
	}
	t.note("ended", it.id.String(), string(row.ID), end.String())
	t.again(it, now)
}

// lateDone takes an end for the item's that a run had which was given up; a later run under way goes on.
func (t *Table) lateDone(it *item, now time.Duration) {
	if it.step.spec.Serving || !it.step.job.active() || it.state == itemOrdered {
		return
	}
	it.state = itemWaiting
	t.done(it, now)
}

// done ends an item for good.
func (t *Table) done(it *item, now time.Duration) {
	s, j := it.step, it.step.job
	if it.state == itemWaiting {
		s.waiting--
	}
	it.state = itemEnded
	s.left--
	s.occ.left--
	t.touch(j)
	if s.spec.Gang {
		t.gangDone(s, now)
	}
	if s.occ.left == 0 && j.active() && t.allDone(j) {
		t.finish(j, work.Completed, now)
	}
}

// gangDone ends the other members of a gang, since one end stands for all.
func (t *Table) gangDone(s *step, now time.Duration) {
	for _, other := range s.items {
		if other.state == itemEnded {
			continue
		}
		if other.state == itemOrdered {
			t.stop(other, now)
		}
		if other.state == itemWaiting {
			s.waiting--
		}
		if other.target != nil {
			t.detach(other)
		}
		other.state = itemEnded
		s.left--
		s.occ.left--
	}
}

func (t *Table) allDone(j *job) bool {
	if j.next < j.occurrences() {
		return false
	}
	for _, o := range j.occs {
		if o.left > 0 {
			return false
		}
	}
	return true
}

func (t *Table) finish(j *job, state work.State, now time.Duration) {
	j.state = state
	j.endedMs = t.wallMs(now)
	t.touch(j)
	t.note("finished", string(j.rec.ID), state.String(), fmt.Sprintf("tookMs=%d queue=%s team=%s", (now-j.acceptedAt).Milliseconds(), j.rec.Queue, j.rec.Team))
}

// restFirst is how long a target rests that was found unwell for the first time, and restLongest the longest rest.
const (
	restFirst   = 2 * time.Second
	restLongest = 8 * time.Second
)

// blamedJobs is how many failures of different jobs on end make a target unwell; one job may be at fault by itself.
const blamedJobs = 2

// blame counts a failure against the target unless one job alone fails there.
func (t *Table) blame(row *target, j *job, now time.Duration) {
	if row.lastFailed == j.rec.ID {
		return
	}
	row.lastFailed = j.rec.ID
	row.failures++
	if row.failures >= blamedJobs {
		t.unwell(row, now, "fails what it runs")
	}
}

func (t *Table) unwell(row *target, now time.Duration, cause string) {
	if now < row.restUntil {
		return
	}
	row.restFor = min(max(row.restFor*2, restFirst), restLongest)
	row.restUntil = now + row.restFor
	t.note("resting", string(row.ID), cause, row.restFor.String())
}
