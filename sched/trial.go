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
	// maxTrialWait is how long a target stays reserved for a job that starts no item there, and maxTrialTurn the same while other jobs of the pool wait for a trial.
	maxTrialWait = 4 * time.Second
	maxTrialTurn = 2 * time.Second
	// maxIdleReservation is how long a target stays reserved between two trials. It is longer than trialTurnWait, after which any job that waits for a trial may take the target.
	maxIdleReservation = trialTurnWait + 200*time.Millisecond
	// maxWithheld is how long a reserved target may have room that other work waits for: a start has to follow within 3 s, and planning, recording and sending it take up to 0.5 s. A trial that runs then may take until maxWithheldRun, as most take under 0.5 s; after that it goes on beside other runs and proves nothing.
	maxWithheld    = 2 * time.Second
	maxWithheldRun = 2500 * time.Millisecond
	// ordinaryTurn is how long a target is not reserved again after it was withheld for too long, so that the work that waited can be started there.
	ordinaryTurn = 500 * time.Millisecond
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
	return it.provenOn(tgt) && (!it.crashes.Isolated() || it.provenFor(tgt, maxCrashAge))
}

// pickTrialTarget returns the target on which a suspect may be started now, or nil if it has to wait.
func (t *Table) pickTrialTarget(it *item, now time.Duration) *target {
	j := it.step.job
	if j.trialWantedAt == 0 {
		j.trialWantedAt = now
	}
	patient := now-j.trialWantedAt < trialPatience
	if tgt := j.trialTarget; tgt != nil && !t.mayTry(it, tgt, now) {
		if tgt.hasTrialRun() || (!tgt.suits(it.step) && now-tgt.trialSince < maxTrialTurn) {
			// Another suspect of the job is or may be tried there.
			return nil
		}
		t.releaseTrialTarget(tgt)
	}
	if queue := t.trialQueues[j.queue.Pool]; j.trialTarget == nil && now >= j.noTrialBefore && (it.seenBeforeCrash <= queue.leastSeen || now-j.trialWantedAt >= trialTurnWait) {
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
	available, reserved, leastCost := 0, 0, 0
	var best, unsuited *target
	charge := it.step.spec.Reservation()
	for _, tgt := range pool {
		if !tgt.available(now) {
			continue
		}
		available++
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
		if now >= tgt.noTrialBefore && charge.Fits(room) && t.mayTry(it, tgt, now) && (best == nil || cost < leastCost) {
			best, leastCost = tgt, cost
		}
	}
	waiting := t.trialQueues[it.step.job.queue.Pool].jobs
	allowed := min((waiting+jobsPerTrialTarget-1)/jobsPerTrialTarget, maxReserved(available))
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
	t.logEvent("trial", it.id.String(), string(best.ID), fmt.Sprintf("runs=%d %s", len(best.runs), it.crashText()))
}

// beginTrial reserves the target for the trial of a job's suspects.
func (t *Table) beginTrial(j *job, tgt *target, now time.Duration) {
	tgt.trial, tgt.trialSince, j.trialTarget = j, now, tgt
	tgt.trialIdleSince = 0
	if !tgt.reserved {
		tgt.reserved = true
		t.trialTargets = append(t.trialTargets, tgt)
	}
}

// readyForTrial reports whether the item can be started: there is room, and all runs but those on trial have been seen active for crashWindow. An isolated item also waits for the other runs to end, as long as it is patient.
func (t *target) readyForTrial(it *item, patient bool) bool {
	if !it.step.spec.Reservation().Fits(t.free()) {
		return false
	}
	isolated := it.crashes.Isolated() && patient
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

// maxReserved is how many of a pool's available targets may be reserved for trials.
func maxReserved(available int) int { return max(int(trialPoolShare*float64(available)), 1) }

// endTrials ends the trials that are over or have not begun for long, and releases the targets that are reserved without need: see the table in docs/design/17-crashes.md.
func (t *Table) endTrials(now time.Duration) {
	t.countTrialQueues(now)
	for n := len(t.trialTargets) - 1; n >= 0; n-- {
		tgt := t.trialTargets[n]
		withheld := tgt.measureWithheld(now)
		switch {
		case withheld >= maxWithheldRun || (withheld >= maxWithheld && !tgt.hasTrialRun()):
			t.logEvent("trialWithheld", string(tgt.ID), tgt.Pool, fmt.Sprintf("ms=%d runs=%d", withheld.Milliseconds(), len(tgt.runs)))
			t.releaseTrialTarget(tgt)
			tgt.noTrialBefore = now + ordinaryTurn
		case !tgt.hasTrialRun():
			t.endIdleTrial(tgt, now)
		}
	}
	t.releaseExcess(now)
}

// endIdleTrial ends the trial on a target without a run on trial if the job has nothing to start there or has not started it for long, and releases a target that no suspect of the pool takes.
func (t *Table) endIdleTrial(tgt *target, now time.Duration) {
	waiting := t.trialQueues[tgt.Pool].jobs
	if j := tgt.trial; j != nil {
		_, wanted := t.leastSeenSuspect(j, now)
		turnOver := waiting > 0 && now-tgt.trialSince >= maxTrialTurn
		switch {
		case !j.active() || !wanted:
			t.endTrial(tgt)
		case turnOver || now-tgt.trialSince > maxTrialWait:
			// The job has waited all the same, so that its waiting time continues.
			wantedAt := j.trialWantedAt
			t.endTrial(tgt)
			j.trialWantedAt = wantedAt
			if turnOver {
				j.noTrialBefore = now + trialTurnWait
			}
		}
	}
	if tgt.trial == nil && tgt.trialIdleSince == 0 {
		tgt.trialIdleSince = now
	}
	if !tgt.available(now) || (tgt.trial == nil && (waiting == 0 || now-tgt.trialIdleSince >= maxIdleReservation)) {
		t.releaseTrialTarget(tgt)
	}
}

// releaseExcess releases targets of the pools in which more are reserved than may be, because other targets were lost. Those without a trial go first; those with a run on trial are released when it is over.
func (t *Table) releaseExcess(now time.Duration) {
	if len(t.trialTargets) == 0 {
		return
	}
	for _, duringTrial := range []bool{false, true} {
		for _, tgt := range slices.Clone(t.trialTargets) {
			if (tgt.trial != nil) == duringTrial && tgt.available(now) && !tgt.hasTrialRun() && t.hasExcess(tgt.Pool, now) {
				t.logEvent("trialExcess", string(tgt.ID), tgt.Pool, fmt.Sprintf("runs=%d", len(tgt.runs)))
				t.releaseTrialTarget(tgt)
			}
		}
	}
}

// hasExcess reports whether more of the pool's available targets are reserved than may be.
func (t *Table) hasExcess(pool string, now time.Duration) bool {
	available, reserved := 0, 0
	for _, tgt := range t.targetsInPool(pool) {
		if tgt.available(now) {
			available++
			if tgt.reserved {
				reserved++
			}
		}
	}
	return reserved > maxReserved(available)
}

// noteWithheld marks the reserved targets on which an item of the step, which needs no trial and found no room, would have been started. Advice is not asked for on reserved targets, so a missing ticket doesn't count.
func (t *Table) noteWithheld(s *step, now time.Duration) {
	charge := s.spec.Reservation()
	for _, tgt := range t.trialTargets {
		if tgt.Pool == s.job.queue.Pool && charge.Fits(tgt.free()) && tgt.available(now) && tgt.suits(s) && t.knowsCapacity(tgt, now) {
			tgt.withheld = true
			if tgt.withheldSince == 0 {
				tgt.withheldSince = now
			}
		}
	}
}

// measureWithheld returns for how long the target's room has been withheld from waiting work, and begins the measurement for the next plan.
func (t *target) measureWithheld(now time.Duration) time.Duration {
	if !t.withheld {
		t.withheldSince = 0
		return 0
	}
	t.withheld = false
	return now - t.withheldSince
}

// countTrialQueues counts the jobs that could begin a trial now.
func (t *Table) countTrialQueues(now time.Duration) {
	clear(t.trialQueues)
	for _, j := range t.activeJobs {
		if j.suspects == 0 || !j.active() || j.trialTarget != nil || now < j.noTrialBefore {
			continue
		}
		seen, waits := t.leastSeenSuspect(j, now)
		if !waits {
			continue
		}
		queue, known := t.trialQueues[j.queue.Pool]
		if !known || seen < queue.leastSeen {
			queue.leastSeen = seen
		}
		queue.jobs++
		t.trialQueues[j.queue.Pool] = queue
	}
}

// leastSeenSuspect returns the shortest time for which a run of one of the job's suspects that may be started now was seen active before a crash, and whether there is such a suspect.
func (t *Table) leastSeenSuspect(j *job, now time.Duration) (time.Duration, bool) {
	least, found := maxCrashAge, false
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.waiting == 0 || !t.mayStartAny(s) {
				continue
			}
			for it := range s.known() {
				if it.suspect && it.state == itemWaiting && now >= it.notBefore && !it.checkDelayedStart(now) {
					least, found = min(least, it.seenBeforeCrash), true
				}
			}
		}
	}
	return least, found
}

// mayStartAny reports whether the step's dependencies, its gang and its team's cap allow the start of an item.
func (t *Table) mayStartAny(s *step) bool {
	if s.spec.Gang {
		return s.waiting == s.spec.Count && t.withinTeamCap(s, s.spec.Count) && s.dependenciesDone()
	}
	return t.withinTeamCap(s, 1) && s.dependenciesDone()
}

// endTrial ends the trial on a target, which stays reserved for others.
func (t *Table) endTrial(tgt *target) {
	if j := tgt.trial; j != nil {
		tgt.trial, j.trialTarget, j.trialWantedAt = nil, nil, 0
	}
}

// releaseTrialTarget ends the trial on a target and lets it get other starts again. Runs that are on trial there go on as runs that prove nothing.
func (t *Table) releaseTrialTarget(tgt *target) {
	if !tgt.reserved {
		return
	}
	t.endTrial(tgt)
	for _, it := range tgt.runs {
		if it.onTrial {
			it.onTrial = false
			t.markDirty(it.step.job)
		}
	}
	tgt.reserved, tgt.trialIdleSince, tgt.withheld, tgt.withheldSince = false, 0, false, 0
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
