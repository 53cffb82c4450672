package sched

import (
	"fmt"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Trials of suspects (crash.go): which target they get, when they may start there, and when they are over.

const (
	// trialPatience is how long an item waits for an empty target before it is tried beside other runs.
	trialPatience = 2 * time.Second
	// gangTrialPatience is how long a gang waits for a target with room for all its suspects before it is started without a trial; others wait as long as it takes.
	gangTrialPatience = 4 * time.Second
	// trialPoolShare bounds the part of a pool's targets that are reserved for trials; at least one may be. One is reserved for each jobsPerTrialTarget jobs that wait for a trial.
	trialPoolShare     = 0.5
	jobsPerTrialTarget = 4
	// trialTurnWait is how long a job leaves the next trial to those that are more likely to have crashed a target.
	trialTurnWait = time.Second
	// maxTrialWait is how long a target stays reserved for a job that starts no item there.
	maxTrialWait = 4 * time.Second
	// servingTrialCost is how many other runs a serving item counts for in the choice of a target for a trial, as its restart is missed for longer.
	servingTrialCost = 20
)

// trialQueue is what waits for trials in a pool: the number of jobs, and the item most likely to have crashed a target, by the shortest time for which a run was seen active before the crash.
type trialQueue struct {
	jobs      int
	leastSeen time.Duration
}

// cleared reports whether the item's trial on the target is over, because the run was seen active for long enough. An item that needs a target of its own is on trial until it ends, or for maxCrashAge.
func (it *item) cleared(tgt *target) bool {
	return it.provenOn(tgt) && (it.crashes < isolationCrashes || it.provenFor(tgt, maxCrashAge))
}

// pickTrialTarget returns the target on which a suspect may be started now, or nil if it has to wait.
func (t *Table) pickTrialTarget(it *item, now time.Duration) *target {
	j := it.step.job
	if j.trialWantedAt == 0 {
		j.trialWantedAt = now
	}
	patient := now-j.trialWantedAt < trialPatience
	if tgt := j.trialTarget; tgt != nil && !t.mayTry(it, tgt, now) {
		if tgt.hasTrialRun() {
			return nil
		}
		t.releaseTrialTarget(tgt)
	}
	if queue := t.trialQueues[j.queue.Pool]; j.trialTarget == nil && (it.seenBeforeCrash <= queue.leastSeen || now-j.trialWantedAt >= trialTurnWait) {
		t.reserveTrialTarget(it, now)
	}
	tgt := j.trialTarget
	switch {
	case tgt != nil && tgt.readyForTrial(it, patient):
		return tgt
	case it.step.spec.Gang && now-j.trialWantedAt >= gangTrialPatience:
		return t.pickTarget(it, now)
	}
	return nil
}

// mayTry reports whether the item may be started on its job's trial target, apart from the target's free capacity.
func (t *Table) mayTry(it *item, tgt *target, now time.Duration) bool {
	_, ticket := it.step.validTicket(tgt, now)
	return tgt.available(now) && t.knowsCapacity(tgt, now) && tgt.Pool == it.step.job.queue.Pool && tgt.suits(it.step) && (ticket || !it.step.needsAdvice())
}

// reserveTrialTarget reserves the target on which a crash would cost least for the trial of the item's job, unless enough of the pool's targets are reserved.
func (t *Table) reserveTrialTarget(it *item, now time.Duration) {
	pool := t.targetsInPool(it.step.job.queue.Pool)
	reserved, leastCost := 0, 0
	var best, unsuited *target
	charge := it.step.spec.Reservation()
	for _, tgt := range pool {
		if tgt.trial != nil {
			reserved++
			continue
		}
		if tgt.reserved {
			if t.mayTry(it, tgt, now) && charge.Fits(tgt.free()) {
				best = tgt
				break
			}
			reserved++
			unsuited = tgt
			continue
		}
		room := tgt.Capacity.Sub(tgt.orphanUsage)
		cost := len(tgt.runs)
		for _, r := range tgt.runs {
			if r.step.spec.Serving {
				room = room.Sub(r.step.spec.Reservation())
				cost += servingTrialCost
			}
		}
		if charge.Fits(room) && t.mayTry(it, tgt, now) && (best == nil || cost < leastCost) {
			best, leastCost = tgt, cost
		}
	}
	waiting := t.trialQueues[it.step.job.queue.Pool].jobs
	allowed := min((waiting+jobsPerTrialTarget-1)/jobsPerTrialTarget, int(trialPoolShare*float64(len(pool))))
	switch {
	case best == nil:
		return
	case best.reserved || reserved < max(allowed, 1):
	case unsuited == nil:
		return
	default:
		// What passed its trial there and runs on leaves no room for this item.
		t.releaseTrialTarget(unsuited)
	}
	t.beginTrial(it.step.job, best, now)
	t.logEvent("trial", it.id.String(), string(best.ID), fmt.Sprintf("runs=%d crashes=%d", len(best.runs), it.crashes))
}

// beginTrial reserves the target for the trial of a job's suspects.
func (t *Table) beginTrial(j *job, tgt *target, now time.Duration) {
	tgt.trial, tgt.trialSince, j.trialTarget = j, now, tgt
	if !tgt.reserved {
		tgt.reserved = true
		t.trialTargets = append(t.trialTargets, tgt)
	}
}

// readyForTrial reports whether the item can be started: there is room, and all runs but those on trial have been seen active for crashWindow. An item with isolationCrashes also waits for the other runs to end, as long as it is patient.
func (t *target) readyForTrial(it *item, patient bool) bool {
	if !it.step.spec.Reservation().Fits(t.free()) {
		return false
	}
	isolated := it.crashes >= isolationCrashes && patient
	for _, r := range t.runs {
		if r.state != itemOrdered || (r.onTrial && r.step.job == it.step.job) {
			continue
		}
		if isolated || !r.provenOn(t) {
			return false
		}
	}
	return !isolated || t.orphanUsage == work.Resources{}
}

// hasTrialRun reports whether a run on the target is on trial.
func (t *target) hasTrialRun() bool {
	for _, it := range t.runs {
		if it.onTrial {
			return true
		}
	}
	return false
}

// reviewTrial clears the items on the target that have passed their trial.
func (t *Table) reviewTrial(tgt *target) {
	if tgt.trial == nil {
		return
	}
	for _, it := range tgt.runs {
		switch {
		case it.onTrial && it.provenFor(tgt, maxCrashAge):
			t.clearOfAll(it)
		case it.onTrial && it.cleared(tgt):
			t.setSuspect(it, false)
		}
	}
}

// endTrials ends the trials that are over or have not begun for long, and releases their targets once no other suspect of their pool waits for one.
func (t *Table) endTrials(now time.Duration) {
	t.countTrialQueues()
	for n := len(t.trialTargets) - 1; n >= 0; n-- {
		tgt := t.trialTargets[n]
		if tgt.hasTrialRun() {
			continue
		}
		if j := tgt.trial; j != nil && (!j.active() || j.suspects == 0 || now-tgt.trialSince > maxTrialWait) {
			t.endTrial(tgt)
		}
		if !tgt.available(now) || (tgt.trial == nil && t.trialQueues[tgt.Pool].jobs == 0) {
			t.releaseTrialTarget(tgt)
		}
	}
}

// countTrialQueues counts what waits for trials.
func (t *Table) countTrialQueues() {
	clear(t.trialQueues)
	for _, j := range t.activeJobs {
		if j.suspects == 0 || !j.active() || j.trialTarget != nil {
			continue
		}
		queue, known := t.trialQueues[j.queue.Pool]
		if seen := j.leastSeenSuspect(); !known || seen < queue.leastSeen {
			queue.leastSeen = seen
		}
		queue.jobs++
		t.trialQueues[j.queue.Pool] = queue
	}
}

// leastSeenSuspect returns the shortest time for which a run of one of the job's suspects was seen active before a crash.
func (j *job) leastSeenSuspect() time.Duration {
	least := maxCrashAge
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, it := range s.items {
				if it.suspect {
					least = min(least, it.seenBeforeCrash)
				}
			}
		}
	}
	return least
}

// endTrial ends the trial on a target, which stays reserved for others.
func (t *Table) endTrial(tgt *target) {
	if j := tgt.trial; j != nil {
		tgt.trial, j.trialTarget, j.trialWantedAt = nil, nil, 0
	}
}

// releaseTrialTarget ends the trial on a target and lets it get other starts again.
func (t *Table) releaseTrialTarget(tgt *target) {
	t.endTrial(tgt)
	tgt.reserved = false
	t.trialTargets = slices.DeleteFunc(t.trialTargets, func(other *target) bool { return other == tgt })
}

// loadTrial restores a trial that an earlier holder began.
func (t *Table) loadTrial(it *item, onTrial bool) {
	j, tgt := it.step.job, it.target
	if !onTrial || !it.suspect || (tgt.trial != nil && tgt.trial != j) || (j.trialTarget != nil && j.trialTarget != tgt) {
		return
	}
	it.onTrial = true
	if tgt.trial == nil {
		t.beginTrial(j, tgt, t.tookOverAt)
	}
}
