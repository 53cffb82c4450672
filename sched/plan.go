package sched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Plan brings the table up to date and queues the orders that follow: it expires leases, adds due occurrences, drops ended jobs from the active ones, measures the teams' load, starts the waiting items that can be started, and plans host orders.
func (t *Table) Plan(now time.Duration) {
	t.applyHeldEntries(now)
	t.ExpireLeases(now)
	t.applySettledEntries(now)
	t.addDueOccurrences(now)
	t.pruneActiveJobs()
	t.endTrials(now)
	t.reportSuspension(now)
	if now-t.teamLoadsMeasuredAt >= teamLoadInterval {
		t.teamLoadsMeasuredAt = now
		t.measureTeamLoads(now)
		t.measureEnds(now)
		if t.features.Enabled(work.Shedding) {
			t.classify(now)
		}
	}
	// lastUnplaced holds, for each pool, the reservation of the last item that found no room although any target of the pool would do.
	lastUnplaced := map[string]work.Resources{}
	for _, c := range t.startableSteps(now) {
		s := c.step
		// An item that is at least as large as the last one that found no room in the pool finds none either.
		pool, charge := s.job.queue.Pool, s.spec.Reservation()
		if unplaced, ok := lastUnplaced[pool]; ok && unplaced.Fits(charge) && s.job.suspects == 0 {
			s.markNoRoom(now)
			continue
		}
		if t.placeStepOrSetAside(s, now) {
			lastUnplaced[pool] = charge
		}
	}
	if t.features.Enabled(work.Preemption) && now-t.evictedAtPlan >= evictInterval {
		t.evictedAtPlan = now
		t.evictForUrgent(now)
	}
	if now-t.hostsPlannedAt >= hostPlanInterval {
		t.hostsPlannedAt = now
		t.dropUnusedTargets(now)
		t.planHosts(now)
		t.evacuateZones(now)
		t.logLearned(now)
	}
}

// teamLoadInterval is how often the teams' running load is measured; it is short compared with an item's run time, so that the order of teams follows the load.
const teamLoadInterval = 50 * time.Millisecond

// hostPlanInterval is how often host orders are planned.
const hostPlanInterval = 100 * time.Millisecond

// addDueOccurrences adds the occurrences that have become due.
func (t *Table) addDueOccurrences(now time.Duration) {
	for _, j := range t.activeJobs {
		for j.active() && j.nextOccurrence < j.record.Occurrences {
			due := j.record.FirstRunMs + int64(j.nextOccurrence)*j.record.IntervalMs
			if t.wallMs(now) < due {
				break
			}
			j.addOccurrence(j.nextOccurrence, due)
			j.nextOccurrence++
		}
	}
}

// pruneActiveJobs drops the jobs whose final state is recorded and that have no runs.
func (t *Table) pruneActiveJobs() {
	kept := t.activeJobs[:0]
	for _, j := range t.activeJobs {
		if !j.state.Final() || j.dirty || j.recordedState != j.state || t.hasRuns(j) {
			kept = append(kept, j)
		}
	}
	clear(t.activeJobs[len(kept):])
	t.activeJobs = kept
}

// hasRuns reports whether an item of the job has a run that may be active.
func (t *Table) hasRuns(j *job) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for it := range s.known() {
				if it.state == itemOrdered {
					return true
				}
			}
		}
	}
	return false
}

// candidate is a step with waiting items and its sort keys.
type candidate struct {
	step    *step
	serving bool
	// useless means that the result will be of no use, so that the step comes after all others.
	useless  bool
	lateness lateness
	priority int
	// overShare means that the step's team uses more than its share of the pool.
	overShare bool
	slack     time.Duration
}

// lateness says whether a step's job can still meet its objective and, if not, whether its result will still be of use.
type lateness int

const (
	// inTime jobs can meet their objective.
	inTime lateness = iota
	// late jobs miss their objective but can be complete within tooLateFactor times the objective; their results are of little use to the callers.
	late
	// tooLate jobs cannot be complete within tooLateFactor times the objective; their results are of no use.
	tooLate
)

// lateness returns the lateness of the step's job for the given slack.
func (t *Table) lateness(s *step, slack time.Duration) lateness {
	switch {
	case slack >= 0:
		return inTime
	case slack+(tooLateFactor-1)*t.objective(s.job) >= 0:
		return late
	default:
		return tooLate
	}
}

// latenessWithRuns returns the lateness of the step's job for the given slack of its waiting items, or by what it already runs if that is later.
func (t *Table) latenessWithRuns(s *step, slack time.Duration) lateness {
	l := t.lateness(s, slack)
	if until := s.occurrence.runsUntil; until > 0 {
		l = max(l, t.lateness(s, s.deadline(t)-until))
	}
	return l
}

// objective is how long the job may take from its acceptance, or an occurrence from its due time.
func (t *Table) objective(j *job) time.Duration {
	return time.Duration(j.queue.SlackFactor*t.criticalPathMs(j)+float64(j.queue.FixedSlackMs)) * time.Millisecond
}

// candidates returns the steps that have waiting items and finished dependencies, in the order in which they are placed.
func (t *Table) candidates(now time.Duration) []candidate {
	list := t.candidateBuffer[:0]
	shedding := t.features.Enabled(work.Shedding)
	for _, j := range t.activeJobs {
		if !j.active() {
			continue
		}
		for _, o := range j.occurrences {
			if o.unfinished == 0 {
				continue
			}
			for _, s := range o.steps {
				if s.waiting > 0 && s.dependenciesDone() {
					slack := t.slack(s, now)
					own := t.latenessWithRuns(s, slack)
					list = append(list, candidate{
						step: s, serving: s.spec.Serving, useless: shedding && !s.spec.Serving && own == tooLate, lateness: s.demote(own), priority: j.queue.Priority,
						overShare: !s.spec.Serving && t.overShare(j), slack: slack - j.refusedFor,
					})
				}
			}
		}
	}
	slices.SortStableFunc(list, compareCandidates)
	t.candidateBuffer = list
	return list
}

// startableSteps returns the candidates, and none while starts are suspended, so that no step counts as one without room.
func (t *Table) startableSteps(now time.Duration) []candidate {
	if t.startsSuspended {
		return nil
	}
	return t.candidates(now)
}

// compareCandidates orders steps by six keys. Serving steps come first, because they are unavailable until they run. Steps whose results will be of no use come last. Then a lower priority number comes first. The fourth key is lateness, because late results are of less use. Fifth, teams within their share come before others. The last key is the slack, least first.
func compareCandidates(a, b candidate) int {
	switch {
	case a.serving != b.serving:
		return trueFirst(a.serving)
	case a.useless != b.useless:
		return trueFirst(b.useless)
	case a.priority != b.priority:
		return cmp.Compare(a.priority, b.priority)
	case a.lateness != b.lateness:
		return cmp.Compare(a.lateness, b.lateness)
	case a.overShare != b.overShare:
		return trueFirst(b.overShare)
	default:
		return cmp.Compare(a.slack, b.slack)
	}
}

// trueFirst compares two booleans that are known to differ; given the first of them, it orders true before false.
func trueFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}

// deadline is when the step's occurrence should be complete.
func (s *step) deadline(t *Table) time.Duration {
	start := s.job.acceptedAt
	if s.occurrence.due > 0 {
		start = time.Duration(s.occurrence.due-t.wallOffset) * time.Millisecond
	}
	return start + t.objective(s.job)
}

// slack is how much longer the step can wait without making its job late; it is negative if the job will be late anyway.
func (t *Table) slack(s *step, now time.Duration) time.Duration {
	return s.deadline(t) - now - time.Duration(t.criticalPaths(s.job)[s.index])*time.Millisecond
}

// placeStep starts as many of a step's waiting items as fit. It reports whether an item found no room although its step needs no ticket or label and has no limit per target, so that no other item of its size finds room in the pool.
func (t *Table) placeStep(s *step, now time.Duration) bool {
	if s.spec.Gang {
		t.placeGang(s, now)
		return false
	}
	poolFull, poolTried := false, false
	s.noRoom = false
	placed := 0
	var first, last *target
	for n := range s.spec.Count {
		it := s.peek(n)
		if it != nil && (it.state != itemWaiting || now < it.notBefore || it.checkDelayedStart(now)) {
			continue
		}
		if poolTried && (it == nil || !it.suspect) {
			continue
		}
		if !t.withinTeamCap(s, 1) {
			break
		}
		it = s.item(n)
		tgt := t.pickTargetOrTrial(it, now)
		if tgt == nil {
			if s.needsAdvice() {
				t.requestAdvice(s, now)
			}
			if it.suspect {
				// Other items need no trial and may find room.
				if s.job.trialTarget == nil {
					s.markNoRoom(now)
				}
				continue
			}
			s.markNoRoom(now)
			t.noteWithheld(s, now)
			poolFull = !s.needsAdvice() && s.spec.RequiredLabel == "" && s.spec.MaxPerTarget == 0
			if s.job.suspects == 0 {
				break
			}
			// The other items that need no trial find no room either, but targets may be reserved for the suspects behind them.
			poolTried = true
			continue
		}
		t.orderStart(it, tgt, now)
		placed++
		if first == nil {
			first = tgt
		}
		last = tgt
	}
	switch {
	case !s.noRoom:
		s.noRoomSince = 0
	case placed > 0:
		s.noRoomSince = now
	}
	if placed > 0 {
		t.logEvent("placed", s.name(), string(first.ID)+".."+string(last.ID),
			fmt.Sprintf("items=%d waiting=%d slackMs=%d config=%d", placed, s.waiting, t.slack(s, now).Milliseconds(), t.config.Version))
	}
	return poolFull
}

// pickTargetOrTrial returns the target for a waiting item, or nil if there is none now; a suspect gets one for its trial.
func (t *Table) pickTargetOrTrial(it *item, now time.Duration) *target {
	if it.suspect {
		return t.pickTrialTarget(it, now)
	}
	return t.pickTarget(it, now)
}

// name identifies the step by job, occurrence and index.
func (s *step) name() string {
	return fmt.Sprintf("%s.%d.%d", s.job.record.ID, s.occurrence.index, s.index)
}

// checkDelayedStart reports whether a start of the item's last run may still be delivered to a new incarnation of its target, so that the item must not be started elsewhere. It clears delayedStartTarget once no such start is left.
func (it *item) checkDelayedStart(now time.Duration) bool {
	if it.delayedStartTarget == nil {
		return false
	}
	for _, start := range it.delayedStartTarget.revoked {
		if start.item == it.id && start.run == it.run && now < start.deliverableUntil {
			return true
		}
	}
	it.delayedStartTarget = nil
	return false
}

// markNoRoom records that no target had room for an item of the step, and since when.
func (s *step) markNoRoom(now time.Duration) {
	s.noRoom = true
	if s.noRoomSince == 0 {
		s.noRoomSince = now
	}
}

// clearNoRoom resets what markNoRoom recorded, because all items of the step have found room.
func (s *step) clearNoRoom() { s.noRoom, s.noRoomSince = false, 0 }

// placeGang starts all items of a gang at once or none. They all get one run number, the highest of any of them, because they run and end together, and one checkpoint, so that they continue from the same state.
func (t *Table) placeGang(s *step, now time.Duration) {
	if s.waiting < s.spec.Count || !t.withinTeamCap(s, s.spec.Count) {
		return
	}
	run, checkpoint := 0, ""
	for it := range s.all() {
		if now < it.notBefore || it.checkDelayedStart(now) {
			return
		}
		run = max(run, it.run)
		if it.checkpoint != "" {
			checkpoint = it.checkpoint
		}
	}
	var chosen []*item
	for it := range s.all() {
		tgt := t.pickTargetOrTrial(it, now)
		if tgt == nil {
			t.releaseAll(chosen)
			s.markNoRoom(now)
			if !it.suspect {
				t.noteWithheld(s, now)
			}
			if s.needsAdvice() {
				t.requestAdvice(s, now)
			}
			return
		}
		it.target = tgt
		tgt.charge(it)
		chosen = append(chosen, it)
	}
	targets := make([]*target, len(chosen))
	for n, it := range chosen {
		targets[n] = it.target
	}
	t.releaseAll(chosen)
	s.clearNoRoom()
	for n, it := range chosen {
		it.run, it.checkpoint = run, checkpoint
		t.orderStart(it, targets[n], now)
	}
}

// releaseAll undoes the tentative placement of a gang's items.
func (t *Table) releaseAll(items []*item) {
	for _, it := range items {
		it.target.release(it)
		it.target = nil
	}
}

// withinTeamCap reports whether the job's team may run n more items of the step.
func (t *Table) withinTeamCap(s *step, n int) bool {
	team, ok := t.config.Team(s.job.record.Team)
	if !ok {
		return true
	}
	used := t.usage[team.Name]
	demand := s.spec.Demand
	within := func(used, ask, limit int64) bool { return limit == 0 || used+ask*int64(n) <= limit }
	return within(used.CPU, demand.CPU, team.Cap.CPU) && within(used.MemMB, demand.MemMB, team.Cap.MemMB) && within(used.GPUs, demand.GPUs, team.Cap.GPUs)
}

// orderStart charges the item to the target and orders its next run.
func (t *Table) orderStart(it *item, tgt *target, now time.Duration) {
	it.state = itemOrdered
	it.step.waiting--
	it.target = tgt
	it.run++
	it.orderedAt = now
	it.confirmed, it.stopping, it.atFullSpeed = false, false, false
	it.savedAt, it.evicted = now, false
	it.sent, it.doubtful, it.incarnation = false, false, tgt.incarnation
	t.extendBusy(it, tgt, now)
	it.timed = it.run == 1 && it.checkpoint == ""
	it.progressPercent, it.progressAt = 0, 0
	it.onTrial = it.suspect && tgt.trial == it.step.job
	tgt.charge(it)
	// The true lease is set when the order is sent. Until then the run counts as active for one lease from now; leaseDuration/40 allows for a target's clock that is up to 2% slow.
	tgt.leaseExpiresAt = max(tgt.leaseExpiresAt, now+leaseDuration+leaseDuration/40+leaseMargin)
	t.addTeamUsage(it, 1)
	j := it.step.job
	j.started = true
	if j.state == work.Queued {
		j.state = work.Running
	}
	t.markDirty(j)
	checkpoint := ""
	if it.step.spec.Checkpointing {
		checkpoint = it.checkpoint
	}
	it.pacePercent = fullPacePercent
	ticket, _ := it.step.validTicket(tgt, now)
	t.pendingStarts = append(t.pendingStarts, StartOrder{Target: tgt.ID, Start: work.StartRequest{
		Ticket: ticket, Item: it.id, Run: it.run, Spec: j.record.Spec, Checkpoint: checkpoint, FencingToken: t.token,
	}})
}
