package sched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Plan starts what can be started.
func (t *Table) Plan(now time.Duration) {
	t.ExpireLeases(now)
	t.unfoldDue(now)
	t.prune()
	if now-t.sharesAt >= sharesEvery {
		t.sharesAt = now
		t.measureShares(now)
	}
	full := map[string]work.Resources{}
	for _, c := range t.candidates(now) {
		s := c.step
		// What is larger than an item that found no room finds none either.
		pool, charge := s.job.queue.Pool, s.spec.Reservation()
		if least, ok := full[pool]; ok && least.Fits(charge) {
			s.foundNone(now)
			continue
		}
		if t.place(s, now) {
			full[pool] = charge
		}
	}
	if now-t.hostsAt >= hostsEvery {
		t.hostsAt = now
		t.forget(now)
		t.planHosts(now)
	}
}

// sharesEvery is how often teams' shares are added up, a fraction of the time that an item runs.
const sharesEvery = 50 * time.Millisecond

// hostsEvery is how often the hosts' orders are planned.
const hostsEvery = 100 * time.Millisecond

// unfoldDue adds the occurrences whose time has come.
func (t *Table) unfoldDue(now time.Duration) {
	for _, j := range t.active {
		for j.active() && j.next < j.rec.Occurrences {
			due := j.rec.FirstRunMs + int64(j.next)*j.rec.IntervalMs
			if t.wallMs(now) < due {
				break
			}
			j.unfold(j.next, due)
			j.next++
		}
	}
}

// prune drops jobs from the active list that need nothing any more.
func (t *Table) prune() {
	kept := t.active[:0]
	for _, j := range t.active {
		if !j.state.Final() || j.dirty || j.shown != j.state || t.running(j) {
			kept = append(kept, j)
		}
	}
	clear(t.active[len(kept):])
	t.active = kept
}

func (t *Table) running(j *job) bool {
	for _, o := range j.occs {
		for _, s := range o.steps {
			for _, i := range s.items {
				if i.state == itemOrdered {
					return true
				}
			}
		}
	}
	return false
}

// candidate is a step with waiting items and what its turn depends on.
type candidate struct {
	step     *step
	serving  bool
	late     lateness
	priority int
	// over means that the step's team has more than its share of the pool at work.
	over  bool
	slack time.Duration
}

// lateness says of what use a step's job can still be.
type lateness int

const (
	inTime lateness = iota
	// late jobs are of little use to their callers, and useless ones of none.
	late
	useless
)

// lateness returns how late the step's job will be with the given slack.
func (t *Table) lateness(s *step, slack time.Duration) lateness {
	switch {
	case slack >= 0:
		return inTime
	case slack+(uselessAfter-1)*t.objective(s.job) >= 0:
		return late
	default:
		return useless
	}
}

// objective is how long the job may take from its begin.
func (t *Table) objective(j *job) time.Duration {
	return time.Duration(j.queue.SlackFactor*t.chainMs(j)+float64(j.queue.TargetDurationMs)) * time.Millisecond
}

// candidates returns the steps with waiting items whose turn has come, in the order in which they are served.
func (t *Table) candidates(now time.Duration) []candidate {
	list := t.queue[:0]
	for _, j := range t.active {
		if !j.active() {
			continue
		}
		for _, o := range j.occs {
			if o.left == 0 {
				continue
			}
			for _, s := range o.steps {
				if s.waiting > 0 && s.ready() {
					slack := t.slack(s, now)
					list = append(list, candidate{step: s, serving: s.spec.Serving, late: t.lateness(s, slack), priority: j.queue.Priority, over: !s.spec.Serving && t.overShare(j), slack: slack})
				}
			}
		}
	}
	slices.SortStableFunc(list, before)
	t.queue = list
	return list
}

// before orders steps: serving ones, because they are away until they run, then by priority, then by the time left; what is of less use for being late comes last, and a team that has its share at work after one that has not.
func before(a, b candidate) int {
	switch {
	case a.serving != b.serving:
		return sign(a.serving)
	case a.priority != b.priority:
		return cmp.Compare(a.priority, b.priority)
	case a.late != b.late:
		return cmp.Compare(a.late, b.late)
	case a.over != b.over:
		return sign(b.over)
	default:
		return cmp.Compare(a.slack, b.slack)
	}
}

// sign orders what is first before what is not.
func sign(first bool) int {
	if first {
		return -1
	}
	return 1
}

// deadline is when the step's occurrence should be complete.
func (s *step) deadline(t *Table) time.Duration {
	begin := s.job.acceptedAt
	if s.occ.due > 0 {
		begin = time.Duration(s.occ.due-t.wallOffset) * time.Millisecond
	}
	return begin + t.objective(s.job)
}

// slack is how long the step may still wait for its job to be in time; steps that cannot make it any more have none.
func (t *Table) slack(s *step, now time.Duration) time.Duration {
	return s.deadline(t) - now - time.Duration(t.chains(s.job)[s.index])*time.Millisecond
}

// place starts as many of a step's waiting items as fit, and reports whether there was no room for an item of no special wants.
func (t *Table) place(s *step, now time.Duration) bool {
	if s.spec.Gang {
		t.placeGang(s, now)
		return false
	}
	noRoom := false
	s.noRoom = false
	placed := 0
	var first, last *target
	for _, it := range s.items {
		if it.state != itemWaiting || now < it.notBefore || it.inDoubt(now) {
			continue
		}
		if !t.withinCap(s, 1) {
			break
		}
		row := t.pick(it, now)
		if row == nil {
			if s.advised() {
				t.seek(s, now)
			}
			s.foundNone(now)
			noRoom = !s.advised() && s.spec.RequiredLabel == "" && s.spec.MaxPerTarget == 0
			break
		}
		t.start(it, row, now)
		placed++
		if first == nil {
			first = row
		}
		last = row
	}
	switch {
	case !s.noRoom:
		s.stuckSince = 0
	case placed > 0:
		s.stuckSince = now
	}
	if placed > 0 {
		t.note("placed", s.name(), string(first.ID)+".."+string(last.ID),
			fmt.Sprintf("items=%d waiting=%d slackMs=%d config=%d", placed, s.waiting, t.slack(s, now).Milliseconds(), t.config.Version))
	}
	return noRoom
}

// name is the step's name: job, occurrence and step.
func (s *step) name() string { return fmt.Sprintf("%s.%d.%d", s.job.rec.ID, s.occ.index, s.index) }

// inDoubt reports whether a start of the item's last run may still be carried out.
func (it *item) inDoubt(now time.Duration) bool {
	if it.doubt == nil {
		return false
	}
	for _, b := range it.doubt.voided {
		if b.item == it.id && b.run == it.run && now < b.until {
			return true
		}
	}
	it.doubt = nil
	return false
}

// foundNone notes that no target had room for an item of the step.
func (s *step) foundNone(now time.Duration) {
	s.noRoom = true
	if s.stuckSince == 0 {
		s.stuckSince = now
	}
}

// foundRoom notes that the step's items are being placed.
func (s *step) foundRoom() { s.noRoom, s.stuckSince = false, 0 }

// placeGang starts all members of a gang at once or none.
func (t *Table) placeGang(s *step, now time.Duration) {
	if s.waiting < len(s.items) || !t.withinCap(s, len(s.items)) {
		return
	}
	run, checkpoint := 0, ""
	for _, it := range s.items {
		if now < it.notBefore || it.inDoubt(now) {
			return
		}
		run = max(run, it.run)
		if it.checkpoint != "" {
			checkpoint = it.checkpoint
		}
	}
	var chosen []*item
	for _, it := range s.items {
		row := t.pick(it, now)
		if row == nil {
			t.unplace(chosen)
			s.foundNone(now)
			if s.advised() {
				t.seek(s, now)
			}
			return
		}
		it.target = row
		row.charge(it)
		chosen = append(chosen, it)
	}
	rows := make([]*target, len(chosen))
	for n, it := range chosen {
		rows[n] = it.target
	}
	t.unplace(chosen)
	s.foundRoom()
	for n, it := range chosen {
		it.run, it.checkpoint = run, checkpoint
		t.start(it, rows[n], now)
	}
}

func (t *Table) unplace(items []*item) {
	for _, it := range items {
		it.target.release(it)
		it.target = nil
	}
}

// withinCap reports whether the job's team may run n more items of the step.
func (t *Table) withinCap(s *step, n int) bool {
	team, ok := t.config.Team(s.job.rec.Team)
	if !ok {
		return true
	}
	used := t.usage[team.Name]
	a := s.spec.Demand
	within := func(used, ask, limit int64) bool { return limit == 0 || used+ask*int64(n) <= limit }
	return within(used.CPU, a.CPU, team.Cap.CPU) && within(used.MemMB, a.MemMB, team.Cap.MemMB) && within(used.GPUs, a.GPUs, team.Cap.GPUs)
}

// start charges the item to the target and orders its next run.
func (t *Table) start(it *item, row *target, now time.Duration) {
	it.state = itemOrdered
	it.step.waiting--
	it.target = row
	it.run++
	it.orderedAt = now
	it.confirmed, it.stopping, it.atWork = false, false, false
	row.charge(it)
	// The lease is set when the order is sent; until then the run counts from now.
	row.expireBy = max(row.expireBy, now+lease+lease/40+leaseMargin)
	t.spend(it, 1)
	j := it.step.job
	j.begun = true
	if j.state == work.Queued {
		j.state = work.Running
	}
	t.touch(j)
	checkpoint := ""
	if it.step.spec.Checkpointing {
		checkpoint = it.checkpoint
	}
	it.paced = paceFull
	ticket, _ := it.step.permit(row, now)
	t.held = append(t.held, StartOrder{Target: row.ID, Start: work.StartRequest{
		Ticket: ticket, Item: it.id, Run: it.run, Spec: j.rec.Spec, Checkpoint: checkpoint, FencingToken: t.token,
	}})
}
