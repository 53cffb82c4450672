package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Renewal holds the parameters of the next lease renewal at a target.
type Renewal struct {
	// LeaseMs is the time on the target's clock until which the lease holds, 0 while that clock is unknown or the target runs nothing.
	LeaseMs int64
	// AcknowledgedEnd is the number of the last end that the store holds.
	AcknowledgedEnd int64
	// ShortPoll means that the target should not wait long for an end before it answers: a serving item is about to reach full speed, and others of its step may be evicted only after that.
	ShortPoll bool
	// Needed is false for a target that runs nothing and knows this holder.
	Needed bool
}

// PrepareRenewal returns the next renewal of a target's lease.
func (t *Table) PrepareRenewal(id work.TargetID, now time.Duration) Renewal {
	tgt, ok := t.targets[id]
	if !ok {
		return Renewal{}
	}
	r := Renewal{AcknowledgedEnd: tgt.lastRecordedEnd, Needed: !tgt.acquired || len(tgt.runs) > 0 || tgt.lastEnd > tgt.lastRecordedEnd || tgt.orphanUsage != work.Resources{}}
	if len(tgt.runs) > 0 {
		r.LeaseMs = tgt.leaseUntil(now, leaseDuration)
	}
	for _, it := range tgt.runs {
		s := it.step.spec
		r.ShortPoll = r.ShortPoll || (s.Serving && s.MaxUnavailable > 0 && !it.atFullSpeed && !it.stopping && now-it.orderedAt < shortPollPeriod)
	}
	return r
}

// shortPollPeriod is how long a starting serving item is polled at short intervals; most reach full speed within a second, and one that never does should not be polled like this forever.
const shortPollPeriod = 3 * time.Second

// ExtendLease returns the time on the target's clock until which the lease of a start sent now holds.
func (t *Table) ExtendLease(id work.TargetID, now time.Duration) int64 {
	if tgt, ok := t.targets[id]; ok {
		return tgt.leaseUntil(now, leaseDuration)
	}
	return 0
}

// CallUnanswered records that a call to the target got no answer.
func (t *Table) CallUnanswered(id work.TargetID) {
	tgt, ok := t.targets[id]
	if !ok || tgt.unreachable {
		return
	}
	tgt.unreachable = true
	t.logEvent("silent", string(id), "no answer", tgt.Address)
}

// RenewalAnswered applies a target's answer to a renewal that was sent at the given time.
func (t *Table) RenewalAnswered(id work.TargetID, reply work.RenewalReply, sent, now time.Duration) {
	tgt, ok := t.targets[id]
	if !ok {
		return
	}
	switch reply.Status {
	case work.OrderFenced:
		t.deposed = true
		return
	case work.OrderWrongTarget:
		t.addressReassigned(tgt, now)
		return
	case work.OrderUnhealthy:
		t.quarantine(tgt, now, "unhealthy")
		return
	}
	if t.hasRestarted(tgt, &reply) {
		t.endIncarnation(tgt, now, "new incarnation")
		tgt.incarnation = reply.StartedMs
	}
	if tgt.unreachable {
		t.logEvent("answers", string(id), "renewal", tgt.Address)
	}
	tgt.recordAnswer(reply.ClockMs, now)
	tgt.incarnation = max(tgt.incarnation, reply.StartedMs)
	if !tgt.acquired {
		// The target now knows this holder's fencing token and rejects renewals of earlier holders, so their leases end within one leaseDuration.
		tgt.acquired = true
		for _, it := range tgt.runs {
			it.stopOrderedAt = -stopRepeatInterval
		}
		tgt.leaseExpiresAt = now + leaseDuration + leaseDuration/40 + leaseMargin
	}
	t.stopRevokedRuns(tgt, now)
	t.applyEnds(tgt, reply.Ended, now)
	t.applyRuns(tgt, reply.Running, sent, now)
	t.adjustPace(tgt, now)
}

// applyEnds applies the ends in a renewal reply, including those of runs that were given up.
func (t *Table) applyEnds(tgt *target, ended []work.EndedRun, now time.Duration) {
	for i := range ended {
		e := &ended[i]
		tgt.lastEnd = max(tgt.lastEnd, e.Sequence)
		if e.UnknownItem {
			continue
		}
		if it := t.findItem(e.Item); it != nil && it.state == itemOrdered && it.target == tgt && it.run == e.Run {
			t.applyEnd(it, e.Outcome, e.Checkpoint, now)
		} else if it != nil && it.state != itemEnded && e.Outcome == work.RunDone && e.Run <= it.run {
			t.completeLate(it, now)
		}
	}
}

// applyRuns compares the runs in a renewal reply with the expected ones: unexpected runs are adopted or stopped, and missing ones are lost.
func (t *Table) applyRuns(tgt *target, running []work.ActiveRun, sent, now time.Duration) {
	tgt.orphanUsage = work.Resources{}
	present := make([]*item, 0, len(running))
	for i := range running {
		r := &running[i]
		it := t.findItem(r.Item)
		if it != nil && it.state == itemWaiting && it.run == r.Run && it.step.job.active() {
			t.adopt(it, tgt, now)
		}
		if it == nil || it.state != itemOrdered || it.target != tgt || it.run != r.Run {
			if it != nil {
				tgt.orphanUsage = tgt.orphanUsage.Add(it.step.spec.Reservation())
			}
			t.orders = append(t.orders, StopOrder{Target: tgt.ID, Item: r.Item, Run: r.Run})
			continue
		}
		t.updateRun(it, r, now)
		if it.stopping && it.stopConfirmedAt == 0 && now-it.stopOrderedAt >= stopRepeatInterval {
			it.stopping = false
			t.orderStop(it, now)
		}
		present = append(present, it)
	}
	for n := 0; n < len(tgt.runs); {
		it := tgt.runs[n]
		if t.mustBeListed(it, sent) && !contains(present, it) {
			t.logEvent("lost", it.id.String(), string(tgt.ID), "not in the renewal reply")
			t.loseRun(it, now)
			continue
		}
		n++
	}
}

// mustBeListed reports whether the answer to a renewal sent at the given time lists the run if it is still active.
func (t *Table) mustBeListed(it *item, sent time.Duration) bool {
	return (it.confirmed && it.confirmedAt < sent) || (it.stopping && it.stopConfirmedAt > 0 && it.stopConfirmedAt < sent)
}

func contains(items []*item, it *item) bool {
	for _, other := range items {
		if other == it {
			return true
		}
	}
	return false
}

// updateRun applies a run's state in a renewal reply.
func (t *Table) updateRun(it *item, r *work.ActiveRun, now time.Duration) {
	if !it.confirmed {
		it.confirmed, it.confirmedAt = true, now
	}
	if r.Checkpoint != "" {
		it.checkpoint = r.Checkpoint
	}
	it.metric = r.Metric
	it.atFullSpeed = r.SpeedPercent == fullPacePercent
}

func (t *Table) findItem(id work.ItemID) *item {
	j, ok := t.jobs[id.Job]
	if !ok {
		return nil
	}
	return j.find(id)
}

// adopt takes back a run that was given up and is active after all.
func (t *Table) adopt(it *item, tgt *target, now time.Duration) {
	it.state = itemOrdered
	it.step.waiting--
	it.target = tgt
	it.confirmed, it.confirmedAt = true, now
	it.stopping, it.stopConfirmedAt = false, 0
	tgt.charge(it)
	tgt.leaseExpiresAt = max(tgt.leaseExpiresAt, now+leaseDuration+leaseDuration/40+leaseMargin)
	t.addTeamUsage(it, 1)
	t.markDirty(it.step.job)
	t.logEvent("adopted", it.id.String(), string(tgt.ID), "run is still active")
}

// addTeamUsage adds the item to its team's usage, or removes it if sign is -1.
func (t *Table) addTeamUsage(it *item, sign int64) {
	team := it.step.job.record.Team
	demand := it.step.spec.Demand
	t.usage[team] = t.usage[team].Add(work.Resources{CPU: sign * demand.CPU, MemMB: sign * demand.MemMB, GPUs: sign * demand.GPUs})
}

// detach removes a run that is over from its target and from its team's usage.
func (t *Table) detach(it *item) {
	it.target.release(it)
	t.addTeamUsage(it, -1)
	it.target = nil
	it.confirmed, it.stopping, it.atFullSpeed = false, false, false
	it.stopConfirmedAt = 0
}

// loseRun requeues an item whose run is over without a reported end.
func (t *Table) loseRun(it *item, now time.Duration) {
	t.detach(it)
	t.requeue(it, now)
}

// requeue makes an item wait for its next run.
func (t *Table) requeue(it *item, _ time.Duration) {
	it.state = itemWaiting
	it.step.waiting++
	t.markDirty(it.step.job)
}
