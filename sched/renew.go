package sched

import (
	"fmt"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Renewal holds the parameters of a lease renewal at a target.
type Renewal struct {
	// LeaseExpiryMs is the time on the target's clock until which the lease holds, 0 while that clock is unknown, the target runs nothing, or it has not answered for a whole lease. Lease identifies the call, whose outcome is to be recorded.
	LeaseExpiryMs int64
	Lease         LeaseCall
	// Unconfirmed means that a call before got no answer, so that the renewal extends the lease by less than usual.
	Unconfirmed bool
	// AcknowledgedEnd is the sequence number of the last run end that the store holds; the target may forget ends up to it.
	AcknowledgedEnd int64
	// Trial means that an item is on trial on the target, which is asked without a poll, since each reply shows that it is running.
	Trial bool
	// ShortPoll means that the target should answer soon and not wait long for a run to end: a serving item is about to reach full speed, and until the reply shows that, no other item of its step may be evicted.
	ShortPoll bool
	// Needed is false if the target knows this holder, runs nothing, no entry contradicts it, has no recorded end to forget, showed no unexpected run in its last reply, has answered the last call, and no start may still be delivered to it.
	Needed bool
	// Watched means that only a start that may still be delivered makes the renewal needed. The target may be polled for long.
	Watched bool
	// Unreachable means that the last call to the target got no answer.
	Unreachable bool
	// ClockUnknown means that the target runs something, but its lease cannot be extended before a reply shows its clock.
	ClockUnknown bool
}

// PrepareRenewal returns the next renewal of a target's lease. If the target runs something, it also moves the time at which the lease has certainly expired, which LeaseUnsent undoes.
func (t *Table) PrepareRenewal(id work.TargetID, now time.Duration) Renewal {
	tgt, ok := t.targets[id]
	if !ok {
		return Renewal{}
	}
	r := Renewal{Unreachable: tgt.unreachable}
	r.Needed = !tgt.acquired || tgt.disputed || tgt.missedCall || len(tgt.runs) > 0 || tgt.lastRecordedEnd > tgt.lastAcknowledgedEnd || tgt.orphanUsage != work.Resources{} || len(tgt.unexpected) > 0 || len(tgt.revoked) > 0
	if !r.Needed {
		// A start that is carried out late, or by the next incarnation, is noticed only in a reply.
		r.Watched = tgt.mayReceiveDelayedStarts(now)
		r.Needed = r.Watched
	}
	if tgt.lastRecordedEnd > tgt.lastAcknowledgedEnd && !tgt.missedCall && !tgt.disputed {
		// A new incarnation, which may get the renewal late, counts its ends anew and would forget those that it has not reported.
		r.AcknowledgedEnd = tgt.lastRecordedEnd
	}
	if len(tgt.runs) > 0 {
		r.Unconfirmed = tgt.leaseUnconfirmed
		r.LeaseExpiryMs, r.Lease = tgt.extendLease(now)
		r.ClockUnknown = r.LeaseExpiryMs == 0
		if r.LeaseExpiryMs <= tgt.showsAtMost(now) {
			// The lease may have expired, and a renewal without one still collects what the target has to report.
			tgt.voidLeaseCall(r.Lease)
			r.LeaseExpiryMs, r.Lease = 0, 0
		}
	}
	r.Trial = tgt.reserved && len(tgt.runs) > 0
	for _, it := range tgt.runs {
		s := it.step.spec
		r.ShortPoll = r.ShortPoll || (s.Serving && s.MaxUnavailable > 0 && !it.atFullSpeed && !it.stopping && now-it.orderedAt < shortPollPeriod)
	}
	return r
}

// shortPollPeriod is how long after the start of a serving item its target is asked to answer soon. Most items reach full speed within a second; the bound ends the frequent polls of one that never does.
const shortPollPeriod = 3 * time.Second

// PrepareStart returns a start that is sent now with its lease, whose end is 0 while the target's clock is unknown, and true. It also moves the time at which the target's lease has certainly expired. It returns false if the start must not be sent any more, because the target has shrunk or begun to drain, its zone was evacuated, or the team's cap was lowered, since the start was planned.
func (t *Table) PrepareStart(o StartOrder, now time.Duration) (StartOrder, bool) {
	tgt, ok := t.targets[o.Target]
	it := t.findItem(o.Start.Item)
	if !ok || it == nil || it.target != tgt || it.run != o.Start.Run {
		return o, false
	}
	if cause := t.startObstacle(it, now); cause != "" {
		t.withdrawStart(it, cause, now)
		return o, false
	}
	o.resent, it.sent = it.sent, true
	o.Start.LeaseExpiryMs, o.Lease = tgt.extendLease(now)
	return o, true
}

// startObstacle says why the start of an item that is charged to the target must not be sent, empty if it may be.
func (t *Table) startObstacle(it *item, now time.Duration) string {
	tgt := it.target
	switch {
	case tgt.Draining && !it.sent:
		return "target is draining"
	case tgt.evacuated:
		// A repeated start must not reach the zone either, also if the answer to an earlier attempt is missing.
		return "zone=" + tgt.zone() + " is evacuated"
	case !t.knowsEvacuations(now):
		return "operators' records were read long ago"
	case tgt.disputed:
		return "target's entry contradicts it"
	case !it.step.spec.Reservation().Fits(tgt.free().Add(it.step.spec.Reservation())):
		return "target has shrunk"
	case !t.knowsCapacity(tgt, now):
		return "target's report is old"
	case !t.withinTeamCap(it.step, 0):
		return "team's cap was lowered"
	}
	return ""
}

// withdrawStart requeues an item whose start has not been sent, and stops one that the target may have got without an answer. The other members of a gang make no progress without it, so they are withdrawn too.
func (t *Table) withdrawStart(it *item, cause string, now time.Duration) {
	t.logEvent("withdrawn", it.id.String(), string(it.target.ID), cause)
	withdrawn := []*item{it}
	if it.step.spec.Gang {
		withdrawn = slices.Collect(it.step.known())
	}
	for _, other := range withdrawn {
		switch {
		case other.state != itemOrdered:
		case other.sent:
			t.orderStop(other, now)
		default:
			t.loseRun(other, now)
		}
	}
}

// CallUnanswered marks the target unreachable, because a call to it got no answer.
func (t *Table) CallUnanswered(id work.TargetID, now time.Duration) {
	tgt, ok := t.targets[id]
	if !ok {
		return
	}
	tgt.missedCall, tgt.leaseUnconfirmed = true, true
	if tgt.unreachable {
		return
	}
	tgt.unreachable, tgt.unreachableSince = true, now
	t.logEvent("silent", string(id), "no answer", tgt.Address)
}

// RenewalAnswered applies a target's reply to a renewal that was sent at the given time and acknowledged ends up to the given one.
func (t *Table) RenewalAnswered(id work.TargetID, reply work.RenewalReply, acknowledged int64, sent, now time.Duration) {
	tgt, ok := t.targets[id]
	if !ok {
		return
	}
	switch reply.Status {
	case work.OrderFenced:
		t.deposed = true
		return
	case work.OrderWrongTarget:
		t.handleReassignedAddress(tgt, now)
		return
	case work.OrderUnhealthy:
		// Whether a refused renewal extends the lease is not known, so the next ones extend it no further.
		tgt.leaseUnconfirmed = true
		t.quarantine(tgt, now, "unhealthy")
		return
	}
	restarted := t.hasRestarted(tgt, &reply) || tgt.restartedUnseen(&reply)
	if restarted {
		t.endIncarnation(tgt, now, "new incarnation")
		tgt.incarnation = reply.StartedMs
	}
	if tgt.unreachable {
		t.logEvent("answers", string(id), "renewal", tgt.Address)
	}
	tgt.noteLateReply(now)
	tgt.recordAnswer(reply.ClockMs, now)
	tgt.answeredAt, tgt.missedCall, tgt.doubtful, tgt.leaseUnconfirmed = now, false, false, false
	tgt.readingMs, tgt.readingSentAt = reply.ClockMs, sent
	tgt.incarnation = max(tgt.incarnation, reply.StartedMs)
	if !tgt.acquired {
		// The target now knows this holder's fencing token and rejects renewals of earlier holders, so their leases end within the longest one. Stops may have been ordered before the target could get them; a stop time this far back makes applyRuns order them again at once.
		tgt.acquired = true
		for _, it := range tgt.runs {
			if !restarted {
				it.stopOrderedAt = -stopRepeatInterval
			}
		}
		tgt.leaseExpiresAt = now + t.longestLease(tgt, reply.ClockMs)
		tgt.restarted = false
	}
	tgt.lastAcknowledgedEnd = max(tgt.lastAcknowledgedEnd, min(acknowledged, tgt.lastRecordedEnd))
	t.settleDispute(tgt, sent)
	t.settleAddress(tgt, sent, now)
	t.stopRevokedRuns(tgt, now)
	t.applyEnds(tgt, reply.Ended, now)
	t.applyRuns(tgt, &reply, sent, now)
	t.reviewTrial(tgt)
	t.adjustPace(tgt, now)
}

// applyEnds applies the ends in a renewal reply, including those of runs whose items have been requeued.
func (t *Table) applyEnds(tgt *target, ended []work.EndedRun, now time.Duration) {
	for i := range ended {
		e := &ended[i]
		tgt.lastAppliedEnd = max(tgt.lastAppliedEnd, e.Sequence)
		if e.UnknownItem {
			continue
		}
		if it := t.findItem(e.Item); it != nil && it.state == itemOrdered && it.target == tgt && it.run == e.Run {
			it.noteEnd(tgt, e.Sequence)
			t.applyEnd(it, e.Outcome, e.Checkpoint, now)
		} else if it != nil && it.state != itemEnded && e.Outcome == work.RunDone && e.Run <= it.run {
			it.noteEnd(tgt, e.Sequence)
			t.completeAfterRequeue(it, now)
		}
	}
}

// applyRuns compares the runs in a renewal reply with the expected ones. It adopts or stops unexpected runs, and requeues the items of expected runs that the reply should list and does not, unless it does not list all that have ended. Unexpected runs count against the target's capacity until they have ended.
func (t *Table) applyRuns(tgt *target, reply *work.RenewalReply, sent, now time.Duration) {
	tgt.orphanUsage = work.Resources{}
	former := tgt.unexpected
	tgt.unexpected = nil
	tgt.replies++
	for i := range reply.Running {
		r := &reply.Running[i]
		it := t.findItem(r.Item)
		if it != nil && it.state == itemWaiting && it.run == r.Run && it.step.job.active() {
			t.adopt(it, tgt, now)
		}
		if it == nil || it.state != itemOrdered || it.target != tgt || it.run != r.Run {
			t.stopUnexpected(tgt, r, it, former, now)
			continue
		}
		t.updateRun(it, r, now)
		it.listedIn = tgt.replies
	}
	for n := 0; n < len(tgt.runs); {
		it := tgt.runs[n]
		t.repeatStop(it, now)
		if !reply.MoreEnds && t.mustBeListed(it, sent) && it.listedIn != tgt.replies {
			t.logEvent("lost", it.id.String(), string(tgt.ID), "not in the renewal reply")
			t.loseRun(it, now)
			continue
		}
		n++
	}
}

// repeatStop orders the stop of a run again that has not been confirmed for stopRepeatInterval.
func (t *Table) repeatStop(it *item, now time.Duration) {
	if it.stopping && it.stopConfirmedAt == 0 && now-it.stopOrderedAt >= stopRepeatInterval {
		it.stopping = false
		t.orderStop(it, now)
	}
}

// stopUnexpected counts an unexpected run against the target's capacity and orders its stop, which is repeated after stopRepeatInterval while replies show the run. The run is logged unless the reply before showed it too.
func (t *Table) stopUnexpected(tgt *target, r *work.ActiveRun, it *item, former map[runKey]time.Duration, now time.Duration) {
	tgt.orphanUsage = tgt.orphanUsage.Add(t.reservation(r.Item, tgt))
	key := runKey{r.Item, r.Run}
	if tgt.unexpected == nil {
		tgt.unexpected = map[runKey]time.Duration{}
	}
	stoppedAt, known := former[key]
	if !known {
		t.logEvent("unexpected", r.Item.String(), string(tgt.ID), fmt.Sprintf("run=%d %s", r.Run, t.describe(r.Item, it)))
	}
	if !known || now-stoppedAt >= stopRepeatInterval {
		t.orders = append(t.orders, StopOrder{Target: tgt.ID, Item: r.Item, Run: r.Run})
		stoppedAt = now
	}
	tgt.unexpected[key] = stoppedAt
}

// describe says what this holder believes of an item.
func (t *Table) describe(id work.ItemID, it *item) string {
	if it == nil {
		return fmt.Sprintf("known=%t", t.Known(id.Job))
	}
	where := work.TargetID("")
	if it.target != nil {
		where = it.target.ID
	}
	return fmt.Sprintf("latest=%d ordered=%t on=%s jobActive=%t cancelled=%t", it.run, it.state == itemOrdered, where, it.step.job.active(), it.step.job.cancelled)
}

// reservation returns what an unexpected run reserves on the target: what its step says, also after the job's items have been dropped, and all there is if the job is not known.
func (t *Table) reservation(id work.ItemID, tgt *target) work.Resources {
	if j, ok := t.jobs[id.Job]; ok && id.Step < len(j.record.Steps) {
		return j.record.Steps[id.Step].Reservation()
	}
	return tgt.Capacity
}

// mustBeListed reports whether the reply to a renewal sent at the given time lists the run if it is still active. That holds if the start or the stop was answered before the renewal was sent; otherwise the order may have reached the target after the reply was made.
func (t *Table) mustBeListed(it *item, sent time.Duration) bool {
	return (it.confirmed && it.confirmedAt < sent) || (it.stopping && it.stopConfirmedAt > 0 && it.stopConfirmedAt < sent)
}

// updateRun applies a run's state in a renewal reply.
func (t *Table) updateRun(it *item, r *work.ActiveRun, now time.Duration) {
	if !it.seen() {
		since := now
		if it.confirmed && !it.doubtful {
			// The run is inherited: an earlier holder ordered it before this one took over, so that it has not just begun.
			since = max(t.tookOverAt, 1)
		}
		it.confirmed, it.confirmedAt, it.doubtful = true, since, false
	}
	if r.Checkpoint != "" {
		if r.Checkpoint != it.checkpoint {
			it.savedAt = now
		}
		it.checkpoint = r.Checkpoint
	}
	it.metric = r.Metric
	it.atFullSpeed = r.Percent == fullPacePercent
	if !it.step.spec.Serving {
		it.progressPercent, it.progressAt = r.Percent, now
	}
}

func (t *Table) findItem(id work.ItemID) *item {
	j, ok := t.jobs[id.Job]
	if !ok {
		return nil
	}
	return j.find(id)
}

// adopt assigns a requeued item to the target again, because its last run is still active there.
func (t *Table) adopt(it *item, tgt *target, now time.Duration) {
	it.state = itemOrdered
	it.step.waiting--
	it.target = tgt
	it.confirmed, it.confirmedAt, it.doubtful = true, now, false
	it.sent, it.incarnation, it.timed = true, tgt.incarnation, false
	it.stopping, it.stopConfirmedAt, it.evicted = false, 0, false
	tgt.charge(it)
	// One lease from now; leaseDuration/40 allows for a target's clock that is up to 2% slow.
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

// detach removes a run that is no longer expected from its target and from its team's usage.
func (t *Table) detach(it *item) {
	it.target.release(it)
	t.addTeamUsage(it, -1)
	it.target = nil
	it.confirmed, it.stopping, it.atFullSpeed, it.onTrial = false, false, false, false
	it.stopConfirmedAt = 0
}

// logInterrupted logs a run that ends with its target: its number, how long ago it was ordered, and, both before now, since when the target has not answered and when the run was last known to be active. A negative time means that there was no such moment.
func (t *Table) logInterrupted(it *item, cause string, now time.Duration) {
	tgt := it.target
	silent, alive := int64(-1), int64(-1)
	if tgt.unreachable {
		silent = (now - tgt.unreachableSince).Milliseconds()
	}
	if it.confirmed {
		alive = (now - max(it.confirmedAt, tgt.answeredAt)).Milliseconds()
	}
	t.logEvent("interrupted", it.id.String(), string(tgt.ID), fmt.Sprintf("%s run=%d orderedMs=%d silentMs=%d aliveMs=%d runs=%d", cause, it.run, (now-it.orderedAt).Milliseconds(), silent, alive, len(tgt.runs)))
}

// loseRun requeues an item whose run counts as over although no end was reported.
func (t *Table) loseRun(it *item, now time.Duration) {
	t.detach(it)
	t.requeue(it, now)
}

// requeue makes an item wait for its next run and marks its job for recording.
func (t *Table) requeue(it *item, _ time.Duration) {
	it.state = itemWaiting
	it.step.waiting++
	t.markDirty(it.step.job)
}
