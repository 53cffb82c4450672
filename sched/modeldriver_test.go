package sched

import (
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

const (
	// Times of the agent's drivers: the longest poll of a renewal, the timeout of a call beyond its poll, the pauses after an unanswered renewal and order, and the longest wait of an idle driver.
	modelPoll        = 1200 * time.Millisecond
	modelShortPoll   = 200 * time.Millisecond
	modelCallTimeout = 400 * time.Millisecond
	modelRenewRetry  = 300 * time.Millisecond
	modelOrderRetry  = 150 * time.Millisecond
	modelIdleWait    = 5 * time.Second
)

// modelDriver calls one target as the agent's driver does: it renews an idle target's lease only when it is woken and a renewal is needed.
type modelDriver struct {
	*modelHolder
	target *modelTarget
	orders []Order
	closed bool
	// underWay holds the items of which an order is under way.
	underWay map[work.ItemID]bool
	// idle counts the waits of an idle driver and is odd during one; woken means that a wake came while the driver was not idle.
	idle  int
	woken bool
}

// syncDrivers begins to call the targets that the table names, and ends the calls to the others.
func (h *modelHolder) syncDrivers() {
	wanted := map[work.TargetID]bool{}
	for _, w := range h.table.Targets() {
		wanted[w.ID] = true
		if h.drivers[w.ID] == nil {
			d := &modelDriver{modelHolder: h, target: h.findTarget(w.ID), underWay: map[work.ItemID]bool{}}
			h.drivers[w.ID] = d
			h.schedule(0, d.renewLoop)
			for range max(h.cancels.senders, 1) {
				h.schedule(0, d.sendLoop)
			}
		}
	}
	for id, d := range h.drivers {
		if !wanted[id] {
			d.closed = true
			delete(h.drivers, id)
		}
	}
}

func (m *model) findTarget(id work.TargetID) *modelTarget {
	for _, t := range m.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

// enqueue queues an order at its target's driver; without one the order is dropped, as the agent does.
func (h *modelHolder) enqueue(o Order) {
	if d := h.drivers[TargetOf(o)]; d != nil {
		d.orders = append(d.orders, o)
		h.wake(d.target.id)
	}
}

// wake has an idle driver check whether its target needs a renewal.
func (h *modelHolder) wake(id work.TargetID) {
	d := h.drivers[id]
	switch {
	case d == nil:
	case d.idle%2 == 0:
		d.woken = true
	default:
		d.idle++
		d.schedule(0, d.renewLoop)
	}
}

func (d *modelDriver) ended() bool { return d.closed || !d.alive }

func (d *modelDriver) renewLoop() {
	if d.ended() {
		return
	}
	r := d.table.PrepareRenewal(d.target.id, d.now)
	if !r.Needed {
		d.waitForOrder()
		return
	}
	poll := d.randomDuration(0, modelPoll)
	switch {
	case r.LeaseExpiryMs == 0 || r.Unreachable || r.Trial:
		poll = 0
	case r.ShortPoll:
		poll = min(poll, modelShortPoll)
	}
	if d.cancels.lateRenewals && d.isLate() {
		clock := d.target.clock(d.now)
		d.deliverLate("renewal", func() { d.renewLate(r, clock) })
		d.schedule(poll+modelCallTimeout, func() { d.renewalUnanswered(&r) })
		return
	}
	sent := d.now
	d.schedule(d.randomDuration(time.Millisecond, 30*time.Millisecond), func() { d.renewNow(&r, poll, sent) })
}

// renewNow has a renewal arrive, and be answered after its poll.
func (d *modelDriver) renewNow(r *Renewal, poll, sent time.Duration) {
	t, incarnation := d.target, d.target.incarnation
	unanswered := func() { d.renewalUnanswered(r) }
	if !d.reachable(t) {
		if d.drawsUnsent() {
			d.table.LeaseUnsent(t.id, r.Lease)
			d.schedule(modelDialTime, unanswered)
			return
		}
		d.deliverThroughCut(t, func() { t.renew(d.model, *r, d.epoch) })
		d.schedule(poll+modelCallTimeout, unanswered)
		return
	}
	if d.cancels.longCuts && !d.knowsIncarnation(t) {
		r.LeaseExpiryMs = 0
	}
	t.renew(d.model, *r, d.epoch)
	d.schedule(poll, func() {
		if !d.reachable(t) || t.incarnation != incarnation {
			d.schedule(modelCallTimeout, unanswered)
			return
		}
		// The reply lists the ends since the arrival; the acknowledgement was applied then.
		after := *r
		after.AcknowledgedEnd = 0
		reply := t.renew(d.model, after, d.epoch)
		d.schedule(d.randomDuration(time.Millisecond, 30*time.Millisecond), func() {
			if reply.Status == work.OrderDone {
				d.table.LeaseGranted(t.id, r.Lease)
			} else {
				d.table.LeaseUnanswered(t.id, r.Lease)
			}
			d.table.RenewalAnswered(t.id, reply, r.AcknowledgedEnd, sent, d.now)
			d.dispatch(d.table.TakeOrders())
			pause := d.randomDuration(120*time.Millisecond, 300*time.Millisecond)
			if r.ClockUnknown || (r.Unconfirmed && d.cancels.longCuts) {
				pause = 0
			}
			d.schedule(pause, d.renewLoop)
		})
	})
}

// modelDialTime is how long it takes until a connection is found to be refused.
const modelDialTime = 5 * time.Millisecond

// drawsUnsent draws whether a call to the target, which is cut off, is certainly not sent.
func (d *modelDriver) drawsUnsent() bool {
	return d.cancels.longCuts && d.target.partitioned && d.Intn(3) == 0
}

// deliverThroughCut draws whether a call to a target that is cut off is carried out later, during the cut or after it, without an answer. Only the incarnation that the holder knows carries it out: by the platform's pages, any other one answers that it is not meant.
func (h *modelHolder) deliverThroughCut(t *modelTarget, carryOut func()) {
	if !h.cancels.longCuts || !t.partitioned || h.Intn(2) == 0 {
		return
	}
	incarnation, sentAt := t.incarnation, h.now
	if !h.knowsIncarnation(t) {
		return
	}
	h.schedule(h.randomDuration(0, maxModelDelay), func() {
		if t.alive && t.incarnation == incarnation {
			t.lateOrderSentAt = sentAt
			carryOut()
			t.lateOrderSentAt = 0
		}
	})
}

// knowsIncarnation reports whether the holder knows the target's present incarnation.
func (h *modelHolder) knowsIncarnation(t *modelTarget) bool {
	tgt := h.table.targets[t.id]
	return tgt != nil && tgt.incarnation == t.incarnation
}

func (d *modelDriver) renewalUnanswered(r *Renewal) {
	d.table.LeaseUnanswered(d.target.id, r.Lease)
	d.table.CallUnanswered(d.target.id, d.now)
	pause := time.Duration(0)
	if r.Unreachable {
		pause = modelRenewRetry
	}
	d.schedule(pause, d.renewLoop)
}

// renewLate has a renewal arrive late that was sent when the target's clock showed the given time.
func (d *modelDriver) renewLate(r Renewal, clockWhenSent int64) {
	if d.cancels.leaseFromArrival && r.LeaseExpiryMs > 0 {
		r.LeaseExpiryMs += d.target.clock(d.now) - clockWhenSent
	}
	d.target.renew(d.model, r, d.epoch)
}

// waitForOrder waits until the driver is woken, modelIdleWait at the longest.
func (d *modelDriver) waitForOrder() {
	if d.woken {
		d.woken = false
		d.schedule(0, d.renewLoop)
		return
	}
	d.idle++
	wait := d.idle
	d.schedule(modelIdleWait, func() {
		if d.idle == wait {
			d.wake(d.target.id)
		}
	})
}

func (d *modelDriver) sendLoop() {
	if d.ended() {
		return
	}
	n := d.nextOrder()
	if n < 0 {
		d.schedule(10*time.Millisecond, d.sendLoop)
		return
	}
	o := d.orders[n]
	d.orders = slices.Delete(slices.Clone(d.orders), n, n+1)
	d.underWay[ItemOf(o)] = true
	needed := d.table.StillNeeded(o)
	if s, ok := o.(StartOrder); ok && needed {
		o, needed = d.table.PrepareStart(s, d.now)
	}
	if !needed {
		d.schedule(0, d.sendNext(o))
		return
	}
	d.sendOrder(o)
}

// nextOrder returns the index of the next order to send, -1 if there is none: the first one or, with several senders, the first stop or else the first other order for an item of which none is under way. A stop of the item that waits goes first.
func (d *modelDriver) nextOrder() int {
	if d.cancels.senders <= 1 {
		return min(len(d.orders), 1) - 1
	}
	isStop := func(o Order) bool {
		_, stop := o.(StopOrder)
		return stop
	}
	stopWaits := map[work.ItemID]bool{}
	for n, o := range d.orders {
		if !isStop(o) {
			continue
		}
		if !d.underWay[ItemOf(o)] {
			return n
		}
		stopWaits[ItemOf(o)] = true
	}
	return slices.IndexFunc(d.orders, func(o Order) bool { return !isStop(o) && !d.underWay[ItemOf(o)] && !stopWaits[ItemOf(o)] })
}

// sendNext goes on after an order has ended.
func (d *modelDriver) sendNext(o Order) func() {
	return func() {
		delete(d.underWay, ItemOf(o))
		d.sendLoop()
	}
}

// sendOrder makes one attempt of an order, or one that is carried out late and half of the time a second one that is not.
func (d *modelDriver) sendOrder(o Order) {
	if d.drawsUnsent() {
		d.schedule(modelDialTime, func() { d.orderUnsent(o) })
		return
	}
	unanswered := func() { d.schedule(modelCallTimeout, func() { d.orderUnanswered(o) }) }
	late := d.isLate()
	if late {
		d.deliverLate("order", func() { d.execute(d.target, o) })
	}
	switch {
	case !late:
		d.callNow(d.target, o, false, unanswered, d.sendNext(o))
	case d.Intn(2) == 0:
		d.schedule(modelHedgeDelay, func() { d.callNow(d.target, o, true, unanswered, d.sendNext(o)) })
	default:
		unanswered()
	}
}

func (d *modelDriver) orderUnsent(o Order) {
	if s, ok := o.(StartOrder); ok {
		d.table.StartUnsent(s, d.now)
	}
	d.table.CallUnanswered(d.target.id, d.now)
	d.orders = append(d.orders, o)
	d.schedule(modelOrderRetry, d.sendNext(o))
}

func (d *modelDriver) orderUnanswered(o Order) {
	if s, ok := o.(StartOrder); ok {
		d.table.StartUnanswered(s, d.now)
	}
	d.table.CallUnanswered(d.target.id, d.now)
	d.orders = append(d.orders, o)
	d.schedule(modelOrderRetry, d.sendNext(o))
}

// isLate draws whether a call gets no answer and is carried out late.
func (d *modelDriver) isLate() bool { return d.now < modelFaultPeriod && d.Intn(lateCallShare) == 0 }

// deliverLate carries a call out after a short or a long delay. It reaches a new incarnation only after revocationGrace, or with earlyDelivery at once, also if it comes while the target is down; with longCuts it reaches none that the holder did not know when it sent the call.
func (d *modelDriver) deliverLate(what string, carryOut func()) {
	t, incarnation, sentAt := d.target, d.target.incarnation, d.now
	meant := !d.cancels.longCuts || d.knowsIncarnation(t)
	delay := d.randomDuration(2*time.Second, maxModelDelay)
	if d.Intn(3) == 0 {
		delay = d.randomDuration(50*time.Millisecond, 2*time.Second)
	}
	d.cancels.trace(d.model, "holder %d: %s to %s will be carried out late, in %v", d.epoch, what, t.id, delay)
	var arrive func()
	arrive = func() {
		early := t.incarnation != incarnation && d.now-t.startedAt <= revocationGrace
		if d.cancels.longCuts && (!meant || t.incarnation != incarnation) {
			return
		}
		switch {
		case !t.alive && d.cancels.earlyDelivery && d.now-sentAt < maxModelDelay:
			d.schedule(5*time.Millisecond, arrive)
		case d.reachable(t) && (!early || d.cancels.earlyDelivery):
			d.cancels.trace(d.model, "%s: late %s of %v, new incarnation %v", t.id, what, sentAt, t.incarnation != incarnation)
			t.lateOrderSentAt = sentAt
			carryOut()
			t.lateOrderSentAt = 0
		}
	}
	d.schedule(delay, arrive)
}
