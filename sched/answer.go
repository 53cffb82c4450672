package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// StillNeeded reports whether an order is still to be sent.
func (t *Table) StillNeeded(o Order) bool {
	row, ok := t.targets[TargetOf(o)]
	if !ok {
		return false
	}
	switch o := o.(type) {
	case StartOrder:
		it := t.item(o.Start.Item)
		return it != nil && it.state == itemOrdered && it.target == row && it.run == o.Start.Run && !it.stopping && !it.confirmed
	case StopOrder:
		if o.Revokes {
			return row.isVoided(o.Item, o.Run)
		}
		it := t.item(o.Item)
		return it == nil || it.target != row || it.run != o.Run || it.stopConfirmedAt == 0
	case PaceOrder:
		it := t.item(o.Item)
		return it != nil && it.state == itemOrdered && it.target == row && it.run == o.Run
	}
	return false
}

// StartAnswered applies a target's answer to a start.
func (t *Table) StartAnswered(o StartOrder, a work.OrderReply, now time.Duration) {
	row := t.targets[o.Target]
	it := t.item(o.Start.Item)
	if row == nil || it == nil {
		return
	}
	if a.Status == work.OrderFenced {
		t.deposed = true
		return
	}
	if a.Status != work.OrderWrongTarget {
		if row.held && a.ClockMs > 0 && a.ClockMs < row.clockMs-clockDisorder.Milliseconds() {
			t.lifeOver(row, now, "new life")
		}
		row.heard(a.ClockMs, now)
	}
	if it.state != itemOrdered || it.target != row || it.run != o.Start.Run {
		return
	}
	switch a.Status {
	case work.OrderDone, work.OrderSuperseded:
		it.confirmed, it.confirmedAt = true, now
	case work.OrderWrongTarget:
		t.addressLost(row, now)
	case work.OrderUnhealthy:
		t.refused(it, row, a, now)
		t.unwell(row, now, "unhealthy")
	case work.OrderTicketInvalid:
		if it.step.permits != nil {
			delete(it.step.permits.tickets, row.ID)
		}
		t.refused(it, row, a, now)
	case work.OrderNoCapacity:
		t.refused(it, row, a, now)
		row.restUntil = max(row.restUntil, now+roomRest)
	default:
		t.refused(it, row, a, now)
		it.notBefore = now + refusedDelay
	}
}

// clockDisorder is by how much answers on different connections may overtake each other; a clock that is behind by more is that of a new life.
const clockDisorder = 2 * time.Second

// roomRest keeps new starts from a target that is fuller than known until its next listing.
const roomRest = 500 * time.Millisecond

// refusedDelay keeps a start that cannot be carried out from being repeated without pause.
const refusedDelay = 200 * time.Millisecond

func (t *Table) refused(it *item, row *target, a work.OrderReply, now time.Duration) {
	t.note("refused", it.id.String(), string(row.ID), a.Status.String())
	t.lose(it, now)
}

// StopAnswered applies a target's answer to a stop.
func (t *Table) StopAnswered(o StopOrder, a work.OrderReply, now time.Duration) {
	row := t.targets[o.Target]
	if row == nil {
		return
	}
	if a.Status == work.OrderFenced {
		t.deposed = true
		return
	}
	if a.Status == work.OrderWrongTarget {
		return
	}
	row.heard(a.ClockMs, now)
	if o.Revokes {
		row.voidAnswered(o.Item, o.Run)
		return
	}
	if it := t.item(o.Item); it != nil && it.target == row && it.run == o.Run {
		it.stopConfirmedAt = now
	}
}

func (t *target) isVoided(id work.ItemID, run int) bool {
	for _, b := range t.voided {
		if b.item == id && b.run == run {
			return true
		}
	}
	return false
}

func (t *target) voidAnswered(id work.ItemID, run int) {
	kept := t.voided[:0]
	for _, b := range t.voided {
		if b.item != id || b.run != run {
			kept = append(kept, b)
		}
	}
	t.voided = kept
}
