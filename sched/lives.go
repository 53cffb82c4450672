package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// reborn reports whether the listing comes from a later life than the last one.
func (t *Table) reborn(row *target, l *work.RenewalReply) bool {
	if !row.held {
		return false
	}
	if l.StartedMs != 0 && row.born != 0 {
		return l.StartedMs != row.born
	}
	return l.ClockMs < row.clockMs
}

// addressLost gives up a target whose address answers for another one.
func (t *Table) addressLost(row *target, now time.Duration) {
	for _, it := range row.runs {
		// What names this target is not carried out there.
		it.confirmed = true
	}
	t.lifeOver(row, now, "address belongs to another target")
	row.listed = false
	t.inPool = nil
}

// lifeOver gives up all that ran in a target's former life, and makes sure that none of its orders begins in the next one. A start that is not answered yet may be carried out by the next life, so that its item stays where it is.
func (t *Table) lifeOver(row *target, now time.Duration, cause string) {
	t.note("lifeOver", string(row.ID), cause, row.Address)
	row.held, row.seen, row.recorded = false, 0, 0
	row.clockAt, row.clockMs, row.expireBy = 0, 0, 0
	row.strays = work.Resources{}
	for n := 0; n < len(row.runs); {
		it := row.runs[n]
		if !it.confirmed && !it.stopping {
			row.expireBy = now + lease + lease/40 + leaseMargin
			n++
			continue
		}
		t.settle(row, it, now)
		t.lose(it, now)
	}
	for _, b := range row.unsettled {
		if now < b.until && !row.isVoided(b.item, b.run) {
			row.voided = append(row.voided, voidedRun{item: b.item, run: b.run, until: b.until})
		}
	}
}

// settle voids a run of a former life; its item waits for that if a start of it may still be on its way.
func (t *Table) settle(row *target, it *item, now time.Duration) {
	for _, b := range row.unsettled {
		if b.item == it.id && b.run == it.run {
			it.doubt = row
			return
		}
	}
	row.voided = append(row.voided, voidedRun{item: it.id, run: it.run, until: now + lateOrder})
}

// lateOrder is how long after it was sent an unanswered order may still be carried out, from the longest delay that the platform is known for.
const lateOrder = 15 * time.Second

// StartUnanswered notes that a start got no answer, so that a copy of it may still be carried out.
func (t *Table) StartUnanswered(o StartOrder, now time.Duration) {
	t.CallUnanswered(o.Target)
	row, ok := t.targets[o.Target]
	if !ok {
		return
	}
	kept := row.unsettled[:0]
	for _, b := range row.unsettled {
		if now < b.until {
			kept = append(kept, b)
		}
	}
	row.unsettled = append(kept, voidedRun{item: o.Start.Item, run: o.Start.Run, until: now + lateOrder})
}

// stopRepeat is how long a stop may be unanswered before it is ordered again.
const stopRepeat = time.Second

// voidStarts orders that no run of an earlier life begins in the present one.
func (t *Table) voidStarts(row *target, now time.Duration) {
	kept := row.voided[:0]
	for _, b := range row.voided {
		if now >= b.until {
			continue
		}
		if b.orderedAt == 0 || now-b.orderedAt >= stopRepeat {
			b.orderedAt = now
			t.orders = append(t.orders, StopOrder{Target: row.ID, Item: b.item, Run: b.run, Revokes: true})
		}
		kept = append(kept, b)
	}
	row.voided = kept
}

// ExpireLeases gives up what ran on targets whose leases have expired for certain.
func (t *Table) ExpireLeases(now time.Duration) {
	for _, row := range t.order {
		if len(row.runs) == 0 || row.expireBy == 0 || now < row.expireBy {
			continue
		}
		t.note("expired", string(row.ID), "lease", row.Address)
		for len(row.runs) > 0 {
			t.lose(row.runs[0], now)
		}
	}
}
