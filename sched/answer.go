package sched

import (
	"fmt"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// StillNeeded reports whether an order still has to be sent.
func (t *Table) StillNeeded(o Order) bool {
	tgt, ok := t.targets[TargetOf(o)]
	if !ok {
		return false
	}
	switch o := o.(type) {
	case StartOrder:
		it := t.findItem(o.Start.Item)
		return it != nil && it.state == itemOrdered && it.target == tgt && it.run == o.Start.Run && !it.stopping && !it.confirmed
	case StopOrder:
		if o.Revokes {
			return tgt.isRevoked(o.Item, o.Run)
		}
		it := t.findItem(o.Item)
		return it == nil || it.target != tgt || it.run != o.Run || it.stopConfirmedAt == 0
	case PaceOrder:
		it := t.findItem(o.Item)
		return it != nil && it.state == itemOrdered && it.target == tgt && it.run == o.Run
	}
	return false
}

// StartAnswered applies a target's answer to a start.
func (t *Table) StartAnswered(o StartOrder, reply work.OrderReply, now time.Duration) {
	tgt := t.targets[o.Target]
	it := t.findItem(o.Start.Item)
	if tgt == nil || it == nil {
		return
	}
	if reply.Status == work.OrderFenced {
		t.deposed = true
		return
	}
	present := false
	if reply.Status != work.OrderWrongTarget {
		if tgt.acquired && reply.ClockMs > 0 && reply.ClockMs < tgt.clockMs-maxAnswerReordering.Milliseconds() {
			t.endEarlierIncarnation(tgt, it, now)
		}
		present = tgt.recordAnswer(reply.ClockMs, now)
		tgt.leaseUnconfirmed = tgt.leaseUnconfirmed && reply.Status == work.OrderUnhealthy
	}
	tgt.endLeaseCall(o.Lease, reply.Status == work.OrderDone)
	if it.state != itemOrdered || it.target != tgt || it.run != o.Start.Run {
		return
	}
	switch reply.Status {
	case work.OrderDone, work.OrderSuperseded:
		it.confirmed, it.confirmedAt, it.doubtful = true, now, !present
	case work.OrderWrongTarget:
		t.handleReassignedAddress(tgt, now)
	case work.OrderUnhealthy:
		t.handleRefusedStart(it, tgt, reply, now)
		t.quarantine(tgt, now, "unhealthy")
	case work.OrderTicketInvalid:
		if it.step.advice != nil {
			delete(it.step.advice.tickets, tgt.ID)
		}
		t.handleRefusedStart(it, tgt, reply, now)
	case work.OrderNoCapacity:
		t.handleRefusedStart(it, tgt, reply, now)
		tgt.quarantinedUntil = max(tgt.quarantinedUntil, now+fullTargetPause)
	default:
		t.handleRefusedStart(it, tgt, reply, now)
		it.notBefore = now + refusedStartDelay
	}
}

// endEarlierIncarnation ends a target's former incarnation when the next one has answered the start of an item, whose run belongs to it if the start was carried out.
func (t *Table) endEarlierIncarnation(tgt *target, it *item, now time.Duration) {
	running := it.state == itemOrdered && it.target == tgt
	if running {
		tgt.release(it)
	}
	t.endIncarnation(tgt, now, "new incarnation")
	if running {
		// The next renewal reply shows the incarnation to which the run belongs.
		it.incarnation = 0
		tgt.charge(it)
		// The start carried a lease by the clock of the former incarnation.
		tgt.leaseExpiresAt = now + lapseTime(max(leaseDuration, t.bounds.MaxLease))
	}
}

// maxAnswerReordering is by how much answers on different connections may overtake each other; a clock that is further behind is that of a new incarnation.
const maxAnswerReordering = 2 * time.Second

// fullTargetPause is how long a target that refused a start for lack of room gets no new starts: until its next renewal reply shows what uses its capacity.
const fullTargetPause = 500 * time.Millisecond

// refusedStartDelay is the pause before a refused start is repeated.
const refusedStartDelay = 200 * time.Millisecond

// handleRefusedStart requeues an item whose start was refused. If another attempt of the start is unanswered, it may still be carried out, so that the run is stopped first.
func (t *Table) handleRefusedStart(it *item, tgt *target, reply work.OrderReply, now time.Duration) {
	t.logEvent("refused", it.id.String(), string(tgt.ID), reply.Status.String())
	if tgt.awaitsStart(it) {
		t.orderStop(it, now)
		return
	}
	t.loseRun(it, now)
}

// StopAnswered applies a target's answer to a stop.
func (t *Table) StopAnswered(o StopOrder, reply work.OrderReply, now time.Duration) {
	tgt := t.targets[o.Target]
	if tgt == nil {
		return
	}
	if reply.Status == work.OrderFenced {
		t.deposed = true
		return
	}
	if reply.Status == work.OrderWrongTarget {
		return
	}
	tgt.recordAnswer(reply.ClockMs, now)
	tgt.leaseUnconfirmed = tgt.leaseUnconfirmed && reply.Status == work.OrderUnhealthy
	if reply.Status != work.OrderDone {
		t.logEvent("stopRefused", o.Item.String(), string(o.Target), fmt.Sprintf("run=%d %s", o.Run, reply.Status))
		return
	}
	if o.Revokes {
		tgt.forgetRevokedRun(o.Item, o.Run)
		return
	}
	if it := t.findItem(o.Item); it != nil && it.target == tgt && it.run == o.Run {
		it.stopConfirmedAt = now
	}
}

// isRevoked reports whether the start of a revoked run may still be delivered to the target.
func (t *target) isRevoked(id work.ItemID, run int) bool {
	for _, start := range t.revoked {
		if start.item == id && start.run == run {
			return true
		}
	}
	return false
}

// forgetRevokedRun forgets a revoked run, because the target will no longer begin it.
func (t *target) forgetRevokedRun(id work.ItemID, run int) {
	kept := t.revoked[:0]
	for _, start := range t.revoked {
		if start.item != id || start.run != run {
			kept = append(kept, start)
		}
	}
	t.revoked = kept
}
