package sched

import (
	"fmt"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// hasRestarted reports whether the renewal reply comes from a later incarnation of the target than its last answer.
func (t *Table) hasRestarted(tgt *target, reply *work.RenewalReply) bool {
	if !tgt.acquired {
		return false
	}
	if reply.StartedMs != 0 && tgt.incarnation != 0 {
		return reply.StartedMs != tgt.incarnation
	}
	return reply.ClockMs < tgt.clockMs
}

// restartedUnseen reports whether the renewal reply is the target's first to this holder and comes from a later incarnation than that in which an earlier holder ordered its runs.
func (t *target) restartedUnseen(reply *work.RenewalReply) bool {
	if t.acquired || reply.StartedMs == 0 {
		return false
	}
	for _, it := range t.runs {
		if it.incarnation != 0 && it.incarnation < reply.StartedMs {
			return true
		}
	}
	return false
}

// handleReassignedAddress ends the present incarnation of a target whose address now belongs to another target, and unlists it.
func (t *Table) handleReassignedAddress(tgt *target, now time.Duration) {
	if tgt.entryOfAnotherStart() {
		t.unlistFalseEntry(tgt)
		return
	}
	for _, it := range tgt.runs {
		// The other target rejects orders that name this one, so it cannot execute an unanswered start. Confirmed runs are revoked and requeued by endIncarnation.
		it.confirmed = true
	}
	t.endIncarnation(tgt, now, "address belongs to another target")
	tgt.listed = false
	t.targetsByPool = nil
}

// endIncarnation revokes the runs of a target's former incarnation, so that none of their starts is executed by the next one, and requeues their items. A start that was sent and is not answered yet may still be executed by the next incarnation, so it is stopped there, and its item stays assigned to the target until that is answered.
func (t *Table) endIncarnation(tgt *target, now time.Duration, cause string) {
	t.logEvent("lifeOver", string(tgt.ID), cause, tgt.Address)
	var guilty []*item
	if !tgt.Draining && !tgt.hostOrderIssued {
		guilty = t.recordCrash(tgt, now)
	}
	defer t.failGuilty(guilty, now)
	tgt.forgetIncarnation()
	for n := 0; n < len(tgt.runs); {
		it := tgt.runs[n]
		if (!it.confirmed || it.doubtful) && !it.stopping {
			it.confirmed, it.doubtful = false, false
			t.logInterrupted(it, cause, now)
			if !it.sent {
				t.loseRun(it, now)
				continue
			}
			t.orderStop(it, now)
			// The crash is counted, and the next incarnation is not to begin the run.
			it.sent, it.incarnation = false, 0
			// The next incarnation may run the item for the longest lease, because the start carries one by the clock of the former incarnation.
			tgt.leaseExpiresAt = now + lapseTime(max(leaseDuration, t.bounds.MaxLease))
			n++
			continue
		}
		t.logInterrupted(it, cause, now)
		t.revokeRun(tgt, it, now)
		t.loseRun(it, now)
	}
	tgt.revokeUnanswered(now)
	t.releaseTrialTarget(tgt)
}

// revokeUnanswered revokes the starts that are unanswered, so that the target's next incarnation is told to begin none of them.
func (t *target) revokeUnanswered(now time.Duration) {
	for _, start := range t.unanswered {
		if now < start.deliverableUntil && !t.isRevoked(start.item, start.run) {
			t.revoked = append(t.revoked, delayedStart{item: start.item, run: start.run, deliverableUntil: start.deliverableUntil})
		}
	}
}

// revokeRun revokes a run of a former incarnation. If one of its starts got no answer and may still be delivered, endIncarnation adds it to the revoked starts with the rest of tgt.unanswered, and the item waits until that start is revoked or can no longer be delivered.
func (t *Table) revokeRun(tgt *target, it *item, now time.Duration) {
	if tgt.awaitsStart(it) {
		it.delayedStartTarget = tgt
		return
	}
	tgt.revoked = append(tgt.revoked, delayedStart{item: it.id, run: it.run, deliverableUntil: now + maxOrderDelay})
}

// awaitsStart reports whether a start of the item's latest run was sent to the target and is unanswered.
func (t *target) awaitsStart(it *item) bool {
	return slices.ContainsFunc(t.unanswered, func(start delayedStart) bool { return start.item == it.id && start.run == it.run })
}

// maxOrderDelay is how long after being sent an unanswered order may still be executed; the platform is not known to deliver orders any later.
const maxOrderDelay = 15 * time.Second

// StartUnanswered records that a start got no answer and may still be delivered, and that its target is unreachable.
func (t *Table) StartUnanswered(o StartOrder, now time.Duration) {
	t.CallUnanswered(o.Target, now)
	t.LeaseUnanswered(o.Target, o.Lease)
	t.StartOutstanding(o, now)
}

// StartUnsent records that a start was certainly not sent, because no connection to its target could be opened.
func (t *Table) StartUnsent(o StartOrder, now time.Duration) {
	t.CallUnanswered(o.Target, now)
	t.LeaseUnsent(o.Target, o.Lease)
	if it := t.findItem(o.Start.Item); it != nil && it.state == itemOrdered && it.target.ID == o.Target && it.run == o.Start.Run && !o.resent {
		it.sent = false
	}
}

// StartOutstanding records that an attempt of a start got no answer and may still be delivered, although another attempt may have been answered.
func (t *Table) StartOutstanding(o StartOrder, now time.Duration) {
	tgt, ok := t.targets[o.Target]
	if !ok {
		return
	}
	kept := tgt.unanswered[:0]
	for _, start := range tgt.unanswered {
		if now < start.deliverableUntil {
			kept = append(kept, start)
		}
	}
	start := delayedStart{item: o.Start.Item, run: o.Start.Run, deliverableUntil: now + maxOrderDelay}
	tgt.unanswered = append(kept, start)
	if it := t.findItem(start.item); (it == nil || it.target != tgt || it.run != start.run) && !tgt.isRevoked(start.item, start.run) {
		// The target was given up while the start was under way.
		tgt.revoked = append(tgt.revoked, start)
	}
}

// StartSettled records that all attempts of a start that was recorded as outstanding have been answered.
func (t *Table) StartSettled(o StartOrder) {
	tgt, ok := t.targets[o.Target]
	if !ok {
		return
	}
	for n, start := range tgt.unanswered {
		if start.item == o.Start.Item && start.run == o.Start.Run {
			tgt.unanswered = append(tgt.unanswered[:n], tgt.unanswered[n+1:]...)
			return
		}
	}
}

// stopRepeatInterval is how long a stop may be unanswered before it is ordered again.
const stopRepeatInterval = time.Second

// stopRevokedRuns orders stops that prevent revoked runs from beginning in the present incarnation.
func (t *Table) stopRevokedRuns(tgt *target, now time.Duration) {
	kept := tgt.revoked[:0]
	for _, start := range tgt.revoked {
		if now >= start.deliverableUntil {
			continue
		}
		if start.stopOrderedAt == 0 || now-start.stopOrderedAt >= stopRepeatInterval {
			start.stopOrderedAt = now
			t.orders = append(t.orders, StopOrder{Target: tgt.ID, Item: start.item, Run: start.run, Revokes: true})
		}
		kept = append(kept, start)
	}
	tgt.revoked = kept
}

// ExpireLeases requeues the items of targets whose leases have expired even by the slowest clock that a target may have.
func (t *Table) ExpireLeases(now time.Duration) {
	for _, tgt := range t.sortedTargets {
		end := tgt.leaseEnd()
		if len(tgt.runs) == 0 || end == 0 || now < end {
			continue
		}
		t.logEvent("expired", string(tgt.ID), "lease", fmt.Sprintf("%s answeredMs=%d grantedMs=%d", tgt.Address, (now-tgt.clockAt).Milliseconds(), (now-tgt.leaseExpiresAt).Milliseconds()))
		for len(tgt.runs) > 0 {
			t.logInterrupted(tgt.runs[0], "lease expired", now)
			t.loseRun(tgt.runs[0], now)
		}
	}
}
