package sched

import (
	"fmt"
	"time"

	"lavenderwing.example/lavenderwing/evict"
	"lavenderwing.example/lavenderwing/work"
)

// Preemption: when urgent batch work finds no room and would be late, checkpointing batch items of lower priority in the same pool are stopped.
const (
	// evictInterval is how often runs are chosen to be stopped; it is short compared with the time of a stop.
	evictInterval = 100 * time.Millisecond
	// evictPause is how long after a stop an item is not stopped again, so that it makes progress in between, and how long a target does not keep its room again.
	evictPause = 3 * time.Second
	// resumeTime is about how long a stopped item waits after its stop until it runs again, a run of urgent work of about a second.
	resumeTime = time.Second
	// overrunShare is the least part of the expected run time that a run counts as remaining, since one that has exceeded the expectation ends at an unknown time.
	overrunShare = 0.25
)

// evictForUrgent stops runs of low priority for the urgent steps among the candidates of this plan. Teams that use more than their share of the pool get no room by stops. A stop counts as taking as long as the platform allows, so that none is in vain.
func (t *Table) evictForUrgent(now time.Duration) {
	needs := map[string][]evict.Need{}
	lowest := t.lowestPriorities()
	for i := range t.candidateBuffer {
		c := &t.candidateBuffer[i]
		s := c.step
		if c.priority >= lowest[s.job.queue.Pool] || c.serving || c.overShare || c.lateness != inTime || !s.noRoom || s.spec.Gang || s.spec.BestEffort || !s.takesAnyTarget() {
			continue
		}
		if slack := t.slack(s, now); slack >= t.bounds.MaxStopTime {
			if n := t.countStartable(s, now); n > 0 {
				pool := s.job.queue.Pool
				needs[pool] = append(needs[pool], evict.Need{Reservation: s.spec.Reservation(), Count: n, Priority: c.priority, Slack: slack})
			}
		}
	}
	for _, p := range t.config.Pools {
		if list := needs[p.Name]; len(list) > 0 {
			t.evictInPool(p.Name, list, now)
		}
	}
}

// lowestPriorities returns for each pool the highest priority number of its queues, whose work comes last.
func (t *Table) lowestPriorities() map[string]int {
	lowest := map[string]int{}
	for i := range t.config.Queues {
		q := &t.config.Queues[i]
		lowest[q.Pool] = max(lowest[q.Pool], q.Priority)
	}
	return lowest
}

// countStartable counts the step's waiting items that could be started if there were room.
func (t *Table) countStartable(s *step, now time.Duration) int {
	n := s.spec.Count - s.touched
	for it := range s.known() {
		if it.state == itemWaiting && now >= it.notBefore && it.delayedStartTarget == nil {
			n++
		}
	}
	for n > 0 && !t.withinTeamCap(s, n) {
		n--
	}
	return n
}

// evictInPool stops the runs that are chosen in one pool.
func (t *Table) evictInPool(pool string, needs []evict.Need, now time.Duration) {
	lowest := needs[0].Priority
	for _, n := range needs {
		lowest = min(lowest, n.Priority)
	}
	var runs []*item
	var targets []evict.Target
	stoppable := false
	for _, tgt := range t.targetsInPool(pool) {
		if !tgt.usable(now) || !t.knowsCapacity(tgt, now) {
			continue
		}
		e := evict.Target{Free: tgt.free()}
		for _, it := range tgt.runs {
			run := t.evictRun(it, now)
			run.ID = len(runs)
			stoppable = stoppable || (run.Stoppable && run.Priority > lowest)
			runs = append(runs, it)
			e.Runs = append(e.Runs, run)
		}
		targets = append(targets, e)
	}
	if !stoppable {
		return
	}
	if p := t.pools[pool]; p != nil {
		for range p.incoming {
			targets = append(targets, evict.Target{After: t.bounds.MoveTime, Free: work.Resources{CPU: p.hostCPU, MemMB: p.hostMemMB}})
		}
	}
	for _, id := range evict.Choose(needs, targets, t.bounds.MaxStopTime) {
		it := runs[id]
		it.evictedAt, it.evicted = now, true
		it.target.holdRoom(now, t.bounds.MaxStopTime, it.step.job.queue.Priority-1)
		t.logEvent("evicted", it.id.String(), string(it.target.ID), fmt.Sprintf("run=%d unsavedMs=%d cpu=%d waiting=%d", it.run, (now-it.savedAt).Milliseconds(), it.step.spec.Demand.CPU, len(needs)))
		t.orderStop(it, now)
	}
}

// evictRun describes a run for the choice.
func (t *Table) evictRun(it *item, now time.Duration) evict.Run {
	s, j := it.step, it.step.job
	run := evict.Run{Reservation: s.spec.Reservation(), Priority: j.queue.Priority}
	switch {
	case it.stopping:
		run.Remaining = t.bounds.MaxStopTime
		return run
	case s.spec.Serving:
		run.Remaining = evictNever
		return run
	}
	expected := time.Duration(t.stepMs(j, s.index)) * time.Millisecond
	run.Remaining = max(expected-(now-it.orderedAt), time.Duration(overrunShare*float64(expected)))
	run.Stoppable = s.spec.Checkpointing && !s.spec.Gang && !s.spec.BestEffort && it.confirmed && !it.suspect && j.active() && (it.evictedAt == 0 || now-it.evictedAt >= evictPause)
	run.Unsaved = float64(s.spec.Demand.CPU) / 1000 * (now - it.savedAt).Seconds()
	// The run goes on from its checkpoint, so its job has the time that it has run as well.
	slack := t.slack(s, now) + expected - run.Remaining
	run.JobLate = slack >= 0 && slack < t.bounds.MaxStopTime+resumeTime
	return run
}

// evictNever is the remaining time of a run that does not end by itself.
const evictNever = 365 * 24 * time.Hour

// holdRoom has the target keep the room of a stopped run for work of the given priority or a lower number. Room that has been kept is free for all work for evictPause, so that small items of low priority are not kept waiting by one stop after the other.
func (t *target) holdRoom(now, length time.Duration, priority int) {
	switch {
	case now < t.heldUntil:
		t.heldPriority = min(t.heldPriority, priority)
	case t.heldUntil == 0 || now >= t.heldUntil+evictPause:
		t.heldUntil, t.heldPriority = now+length, priority
	}
}

// keepsRoom reports whether the target keeps the room of stopped runs for work of a higher priority than the step's.
func (t *target) keepsRoom(s *step, now time.Duration) bool {
	if now >= t.heldUntil || s.spec.Serving || s.job.queue.Priority <= t.heldPriority {
		return false
	}
	for _, it := range t.runs {
		if it.evicted && it.stopping {
			return true
		}
	}
	return false
}

// countEvicted counts the processor time that the stop of an evicted run has lost: that since the stop was ordered if the stop saved a checkpoint, and that since the last checkpoint if not.
func (t *Table) countEvicted(it *item, outcome work.RunOutcome, checkpoint string, now time.Duration) {
	if !it.evicted {
		return
	}
	it.evicted = false
	if outcome == work.RunDone {
		return
	}
	since := it.savedAt
	if checkpoint != "" {
		since = it.evictedAt
	}
	t.evictions.Runs++
	t.evictions.CoreSeconds += float64(it.step.spec.Demand.CPU) / 1000 * (now - since).Seconds()
}

// Evictions counts runs that were stopped for urgent work and the processor time that was lost by that, in core-seconds.
type Evictions struct {
	Runs        int
	CoreSeconds float64
}

// TakeEvictions returns the evictions that have ended since the last call.
func (t *Table) TakeEvictions() Evictions {
	e := t.evictions
	t.evictions = Evictions{}
	return e
}
