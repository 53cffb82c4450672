package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Renewal is what the next renewal at a target carries.
type Renewal struct {
	// LeaseMs is 0 where the target's clock is not known yet.
	LeaseMs      int64
	AcknowledgedEnd int64
	// ShortPoll means that the answer should not wait long for an end: a serving item is about to be at work, and others of its step can leave only then.
	ShortPoll bool
	// Needed is false for a target that runs nothing and is known.
	Needed bool
}

// Renewal returns the next renewal of a target's lease.
func (t *Table) Renewal(id work.TargetID, now time.Duration) Renewal {
	row, ok := t.targets[id]
	if !ok {
		return Renewal{}
	}
	r := Renewal{AcknowledgedEnd: row.recorded, Needed: !row.held || len(row.runs) > 0 || row.seen > row.recorded || row.strays != work.Resources{}}
	if len(row.runs) > 0 {
		r.LeaseMs = row.leaseUntil(now, lease)
	}
	for _, it := range row.runs {
		s := it.step.spec
		r.ShortPoll = r.ShortPoll || (s.Serving && s.MaxUnavailable > 0 && !it.atWork && !it.stopping && now-it.orderedAt < hurryFor)
	}
	return r
}

// hurryFor is how long a serving item is looked after closely; most are at work within a second, and one that stands still should not cost looks for good.
const hurryFor = 3 * time.Second

// LeaseFor returns the time on a target's clock to which a start sent now holds.
func (t *Table) LeaseFor(id work.TargetID, now time.Duration) int64 {
	if row, ok := t.targets[id]; ok {
		return row.leaseUntil(now, lease)
	}
	return 0
}

// CallUnanswered notes that a call to a target got no answer.
func (t *Table) CallUnanswered(id work.TargetID) {
	row, ok := t.targets[id]
	if !ok || row.silent {
		return
	}
	row.silent = true
	t.note("silent", string(id), "no answer", row.Address)
}

// RenewalAnswered applies a target's answer to a renewal that was sent at the given time.
func (t *Table) RenewalAnswered(id work.TargetID, l work.RenewalReply, sent, now time.Duration) {
	row, ok := t.targets[id]
	if !ok {
		return
	}
	switch l.Status {
	case work.OrderFenced:
		t.deposed = true
		return
	case work.OrderWrongTarget:
		t.addressLost(row, now)
		return
	case work.OrderUnhealthy:
		t.unwell(row, now, "unhealthy")
		return
	}
	if t.reborn(row, &l) {
		t.lifeOver(row, now, "new life")
		row.born = l.StartedMs
	}
	if row.silent {
		t.note("answers", string(id), "renewal", row.Address)
	}
	row.heard(l.ClockMs, now)
	row.born = max(row.born, l.StartedMs)
	if !row.held {
		// The fence keeps an earlier holder from renewing, so that its last lease is the longest.
		row.held = true
		for _, it := range row.runs {
			it.stopOrderedAt = -stopRepeat
		}
		row.expireBy = now + lease + lease/40 + leaseMargin
	}
	t.voidStarts(row, now)
	t.applyEnds(row, l.Ended, now)
	t.applyRuns(row, l.Running, sent, now)
	t.pace(row, now)
}

func (t *Table) applyEnds(row *target, ended []work.EndedRun, now time.Duration) {
	for i := range ended {
		e := &ended[i]
		row.seen = max(row.seen, e.Sequence)
		if e.UnknownItem {
			continue
		}
		if it := t.item(e.Item); it != nil && it.state == itemOrdered && it.target == row && it.run == e.Run {
			t.ended(it, e.Outcome, e.Checkpoint, now)
		} else if it != nil && it.state != itemEnded && e.Outcome == work.RunDone && e.Run <= it.run {
			t.lateDone(it, now)
		}
	}
}

func (t *Table) applyRuns(row *target, running []work.ActiveRun, sent, now time.Duration) {
	row.strays = work.Resources{}
	present := make([]*item, 0, len(running))
	for i := range running {
		r := &running[i]
		it := t.item(r.Item)
		if it != nil && it.state == itemWaiting && it.run == r.Run && it.step.job.active() {
			t.adopt(it, row, now)
		}
		if it == nil || it.state != itemOrdered || it.target != row || it.run != r.Run {
			if it != nil {
				row.strays = row.strays.Add(it.step.spec.Reservation())
			}
			t.orders = append(t.orders, StopOrder{Target: row.ID, Item: r.Item, Run: r.Run})
			continue
		}
		t.seenRunning(it, r, now)
		if it.stopping && it.stopConfirmedAt == 0 && now-it.stopOrderedAt >= stopRepeat {
			it.stopping = false
			t.stop(it, now)
		}
		present = append(present, it)
	}
	for n := 0; n < len(row.runs); {
		it := row.runs[n]
		if t.vanished(it, sent) && !contains(present, it) {
			t.note("lost", it.id.String(), string(row.ID), "not listed")
			t.lose(it, now)
			continue
		}
		n++
	}
}

// vanished reports whether a run would be listed by an answer to a renewal sent at the given time.
func (t *Table) vanished(it *item, sent time.Duration) bool {
	return (it.confirmed && it.confirmedAt < sent) || (it.stopping && it.stopConfirmedAt > 0 && it.stopConfirmedAt < sent)
}

func contains(items []*item, it *item) bool {
	for _, i := range items {
		if i == it {
			return true
		}
	}
	return false
}

func (t *Table) seenRunning(it *item, r *work.ActiveRun, now time.Duration) {
	if !it.confirmed {
		it.confirmed, it.confirmedAt = true, now
	}
	if r.Checkpoint != "" {
		it.checkpoint = r.Checkpoint
	}
	it.figure = r.Metric
	it.atWork = r.SpeedPercent == paceFull
}

func (t *Table) item(id work.ItemID) *item {
	j, ok := t.jobs[id.Job]
	if !ok {
		return nil
	}
	return j.find(id)
}

// adopt takes a run for under way that was given up too early.
func (t *Table) adopt(it *item, row *target, now time.Duration) {
	it.state = itemOrdered
	it.step.waiting--
	it.target = row
	it.confirmed, it.confirmedAt = true, now
	it.stopping, it.stopConfirmedAt = false, 0
	row.charge(it)
	row.expireBy = max(row.expireBy, now+lease+lease/40+leaseMargin)
	t.spend(it, 1)
	t.touch(it.step.job)
	t.note("adopted", it.id.String(), string(row.ID), "run is under way")
}

func (t *Table) spend(it *item, sign int64) {
	team := it.step.job.rec.Team
	a := it.step.spec.Demand
	t.usage[team] = t.usage[team].Add(work.Resources{CPU: sign * a.CPU, MemMB: sign * a.MemMB, GPUs: sign * a.GPUs})
}

// detach frees the target of a run that is over.
func (t *Table) detach(it *item) {
	it.target.release(it)
	t.spend(it, -1)
	it.target = nil
	it.confirmed, it.stopping, it.atWork = false, false, false
	it.stopConfirmedAt = 0
}

// lose makes an item wait again whose run is over without an end.
func (t *Table) lose(it *item, now time.Duration) {
	t.detach(it)
	t.again(it, now)
}

// again makes an item wait for its next run, or ends it with its job.
func (t *Table) again(it *item, _ time.Duration) {
	it.state = itemWaiting
	it.step.waiting++
	t.touch(it.step.job)
}
