package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// hasRestarted reports whether the renewal reply comes from a later incarnation of the target than the last one did.
func (t *Table) hasRestarted(tgt *target, reply *work.RenewalReply) bool {
	if !tgt.acquired {
		return false
	}
	if reply.StartedMs != 0 && tgt.incarnation != 0 {
		return reply.StartedMs != tgt.incarnation
	}
	return reply.ClockMs < tgt.clockMs
}

// addressReassigned gives up a target whose address now belongs to another one.
func (t *Table) addressReassigned(tgt *target, now time.Duration) {
	for _, it := range tgt.runs {
		// The other target rejects orders that name this one, so an unanswered start is not carried out there.
		it.confirmed = true
	}
	t.endIncarnation(tgt, now, "address belongs to another target")
	tgt.listed = false
	t.targetsByPool = nil
}

// endIncarnation gives up the runs of a target's former incarnation and revokes them, so that none of their starts takes effect in the next one. A start that is not answered yet may be carried out by the next incarnation, so its item stays assigned to the target.
func (t *Table) endIncarnation(tgt *target, now time.Duration, cause string) {
	t.logEvent("lifeOver", string(tgt.ID), cause, tgt.Address)
	tgt.acquired, tgt.lastEnd, tgt.lastRecordedEnd = false, 0, 0
	tgt.clockAt, tgt.clockMs, tgt.leaseExpiresAt = 0, 0, 0
	tgt.orphanUsage = work.Resources{}
	for n := 0; n < len(tgt.runs); {
		it := tgt.runs[n]
		if !it.confirmed && !it.stopping {
			tgt.leaseExpiresAt = now + leaseDuration + leaseDuration/40 + leaseMargin
			n++
			continue
		}
		t.revokeRun(tgt, it, now)
		t.loseRun(it, now)
	}
	for _, start := range tgt.unanswered {
		if now < start.deliverableUntil && !tgt.isRevoked(start.item, start.run) {
			tgt.revoked = append(tgt.revoked, lateStart{item: start.item, run: start.run, deliverableUntil: start.deliverableUntil})
		}
	}
}

// revokeRun revokes a run of a former incarnation; if one of its starts may still be delivered, its item waits for the revocation.
func (t *Table) revokeRun(tgt *target, it *item, now time.Duration) {
	for _, start := range tgt.unanswered {
		if start.item == it.id && start.run == it.run {
			it.lateStartTarget = tgt
			return
		}
	}
	tgt.revoked = append(tgt.revoked, lateStart{item: it.id, run: it.run, deliverableUntil: now + maxOrderDelay})
}

// maxOrderDelay is how long after being sent an unanswered order may still be carried out; it is the longest delay known of the platform.
const maxOrderDelay = 15 * time.Second

// StartUnanswered records that a start got no answer and may still be delivered.
func (t *Table) StartUnanswered(o StartOrder, now time.Duration) {
	t.CallUnanswered(o.Target)
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
	tgt.unanswered = append(kept, lateStart{item: o.Start.Item, run: o.Start.Run, deliverableUntil: now + maxOrderDelay})
}

// stopRepeatInterval is how long a stop may be unanswered before it is ordered again.
const stopRepeatInterval = time.Second

// stopRevokedRuns orders stops that keep revoked runs from beginning in the present incarnation.
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

// ExpireLeases gives up the runs of targets whose leases have certainly expired.
func (t *Table) ExpireLeases(now time.Duration) {
	for _, tgt := range t.sortedTargets {
		if len(tgt.runs) == 0 || tgt.leaseExpiresAt == 0 || now < tgt.leaseExpiresAt {
			continue
		}
		t.logEvent("expired", string(tgt.ID), "lease", tgt.Address)
		for len(tgt.runs) > 0 {
			t.loseRun(tgt.runs[0], now)
		}
	}
}
