package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// modelHolder drives a table as the agent does: it plans, flushes, renews leases and sends orders, each with random delays.
type modelHolder struct {
	*model
	table *Table
	epoch int64
	alive bool
	// superseded means that a successor has taken over and this holder does not know it yet.
	superseded bool
	flushing   bool
	// unsentOrders holds the orders that are still to be sent to each target.
	unsentOrders map[work.TargetID][]Order
	// driven holds the targets that the holder renews and sends orders to.
	driven map[*modelTarget]bool
	// reportsRead holds how many reports of each target the holder has read.
	reportsRead map[*modelTarget]int
	tookOverAt  time.Duration
	// The following are used if cancellations are enabled, drivers instead of driven: tail counts the store's entries that have been read, and hostListRead is the number of the last host list.
	drivers      map[work.TargetID]*modelDriver
	tail         int
	hostListRead int
}

// takeOver begins a new epoch with a new holder. The former holder ends at once, or stays active for a while without knowing of its successor.
func (m *model) takeOver() {
	if n := len(m.holders); n > 0 {
		former := m.holders[n-1]
		if m.Intn(2) == 0 {
			former.alive = false
		} else {
			former.superseded = true
			m.schedule(m.randomDuration(0, MaxUnconfirmedRenewal), func() { former.alive = false })
		}
	}
	m.epoch++
	m.crashes.takeOver(m)
	h := &modelHolder{model: m, epoch: m.epoch, alive: true, unsentOrders: map[work.TargetID][]Order{}, driven: map[*modelTarget]bool{}, reportsRead: map[*modelTarget]int{}, tookOverAt: m.now, drivers: map[work.TargetID]*modelDriver{}}
	m.holders = append(m.holders, h)
	bounds := testBounds()
	if m.capacity.enabled {
		bounds.ReportInterval, bounds.ContactTime = modelBeat, modelContact
	}
	h.table = New(bounds, WithToken(h.epoch, m.now), WithRecordLimit(m.recordLimit))
	h.table.Configure(m.config)
	stored := NewProgressSet()
	for key, value := range m.store {
		if _, err := stored.Add(key, value, 0); err != nil {
			m.reportViolation("record of %s: %v", key, err)
		}
	}
	for _, j := range m.jobs {
		p := stored.Job(j.ID)
		if m.retention.load(h, j, p) {
			h.table.LoadJob(j, p, m.now)
			continue
		}
		h.table.RemoveRecords(stored.Sections(j.ID))
	}
	m.retention.takeOver(h)
	m.schedule(m.randomDuration(50*time.Millisecond, 500*time.Millisecond), h.plan)
	h.driveTargets()
	m.cancels.takeOver(h)
	if m.crashes.enabled && !m.cancels.enabled {
		m.schedule(m.randomDuration(0, modelHostListInterval), h.listHosts)
	}
}

// driveTargets begins to renew and to call the targets that are new.
func (h *modelHolder) driveTargets() {
	if h.cancels.enabled {
		h.syncDrivers()
		return
	}
	for _, t := range h.targets {
		if h.driven[t] {
			continue
		}
		h.driven[t] = true
		h.schedule(h.randomDuration(10*time.Millisecond, 300*time.Millisecond), func() { h.renew(t) })
		h.schedule(h.randomDuration(10*time.Millisecond, 300*time.Millisecond), func() { h.send(t) })
	}
}

// upsertReachableTargets applies the store's entries of the targets that are alive and reachable.
func (h *modelHolder) upsertReachableTargets() {
	for _, t := range h.targets {
		if !h.cancels.enabled && t.alive && !t.partitioned && h.capacity.hasNews(h, t) {
			h.table.UpsertTarget(work.Target{ID: t.id, Pool: "p", Address: t.address, Capacity: work.Resources{CPU: t.reportedCPU, MemMB: 1000}, StartedMs: t.incarnation}, h.now)
		}
	}
}

func (h *modelHolder) plan() {
	h.cancels.traceEvents(h, h.table.TakeEvents())
	if !h.alive || h.table.Deposed() {
		return
	}
	h.upsertReachableTargets()
	h.driveTargets()
	h.table.Plan(h.now)
	h.dispatch(h.table.TakeOrders())
	if !h.flushing {
		h.flush()
	}
	h.schedule(h.randomDuration(20*time.Millisecond, 60*time.Millisecond), h.plan)
}

func (h *modelHolder) flush() {
	b, err := h.table.Flush(h.now)
	if err != nil {
		h.reportViolation("flush: %v", err)
		return
	}
	h.flushing = true
	if first := h.drawFirstPart(b); first > 0 {
		h.write(b.Entries[:first], func() { h.write(b.Entries[first:], func() { h.written(b) }) })
		return
	}
	h.write(b.Entries, func() { h.written(b) })
}

// drawFirstPart draws how many of a batch's entries are written before the others, so that a takeover may find a part of them; 0 if all are written at once.
func (h *modelHolder) drawFirstPart(b *Batch) int {
	if h.recordLimit == 0 || len(b.Entries) < 2 || h.now > modelFaultPeriod {
		return 0
	}
	return h.Intn(len(b.Entries))
}

// write has the store apply entries, and goes on once they are written.
func (h *modelHolder) write(entries []Entry, then func()) {
	h.schedule(h.capacity.flushDelay(h.model), func() {
		if h.epoch < h.model.epoch {
			// The store rejects writes with an older fencing token.
			h.alive = false
			return
		}
		for _, e := range entries {
			if size := 1 + len(e.Key) + len(e.Value); h.recordLimit > 0 && size > h.recordLimit {
				h.reportViolation("record %s has %d bytes, the limit is %d", e.Key, size, h.recordLimit)
			}
			if e.Value == nil {
				delete(h.store, e.Key)
				continue
			}
			h.store[e.Key] = e.Value
		}
		then()
	})
}

// written has the holder learn, some time later, that a batch is written.
func (h *modelHolder) written(b *Batch) {
	h.schedule(h.randomDuration(time.Millisecond, 20*time.Millisecond), func() {
		h.flushing = false
		h.table.Flushed(b)
		h.dispatch(b.Orders)
		h.cancels.flushed(h, b)
	})
}

// dispatch queues orders for their targets.
func (h *modelHolder) dispatch(orders []Order) {
	for _, o := range orders {
		if h.cancels.enabled {
			h.enqueue(o)
			continue
		}
		h.unsentOrders[TargetOf(o)] = append(h.unsentOrders[TargetOf(o)], o)
	}
}

// reachable reports whether a call to the target is delivered now.
func (h *modelHolder) reachable(t *modelTarget) bool { return t.alive && !t.partitioned }

func (h *modelHolder) renew(t *modelTarget) {
	if !h.alive {
		return
	}
	sent := h.now
	r := h.table.PrepareRenewal(t.id, h.now)
	again := func() { h.renew(t) }
	h.schedule(h.randomDuration(time.Millisecond, 30*time.Millisecond), func() {
		if !h.reachable(t) {
			h.schedule(400*time.Millisecond, func() { h.table.CallUnanswered(t.id, h.now); h.schedule(300*time.Millisecond, again) })
			return
		}
		l := t.renew(h.model, r, h.epoch)
		h.schedule(h.randomDuration(time.Millisecond, 30*time.Millisecond), func() {
			h.table.RenewalAnswered(t.id, l, r.AcknowledgedEnd, sent, h.now)
			h.dispatch(h.table.TakeOrders())
			h.schedule(h.randomDuration(50*time.Millisecond, 300*time.Millisecond), again)
		})
	})
}

func (h *modelHolder) send(t *modelTarget) {
	if !h.alive {
		return
	}
	again := func() { h.send(t) }
	queue := h.unsentOrders[t.id]
	if len(queue) == 0 {
		h.schedule(10*time.Millisecond, again)
		return
	}
	o := queue[0]
	h.unsentOrders[t.id] = queue[1:]
	if !h.table.StillNeeded(o) {
		h.schedule(0, again)
		return
	}
	if s, ok := o.(StartOrder); ok {
		prepared, ok := h.table.PrepareStart(s, h.now)
		if !ok {
			h.schedule(0, again)
			return
		}
		o = prepared
	}
	unanswered := func() {
		h.schedule(400*time.Millisecond, func() {
			if s, ok := o.(StartOrder); ok {
				h.table.StartUnanswered(s, h.now)
			}
			h.table.CallUnanswered(t.id, h.now)
			h.unsentOrders[t.id] = append(h.unsentOrders[t.id], o)
			h.schedule(150*time.Millisecond, again)
		})
	}
	// Some orders are executed seconds later, and their answers are lost.
	if h.now < modelFaultPeriod && h.Intn(25) == 0 {
		incarnation, sentAt := t.incarnation, h.now
		h.schedule(h.randomDuration(2*time.Second, 12*time.Second), func() {
			// A holder cannot revoke a delayed order at an incarnation of which it does not know yet, so the order reaches a new incarnation only after revocationGrace (docs/PROOF.md).
			if h.reachable(t) && (t.incarnation == incarnation || h.now-t.startedAt > revocationGrace) {
				t.lateOrderSentAt = sentAt
				h.execute(t, o)
				t.lateOrderSentAt = 0
			}
		})
		if _, ok := o.(StartOrder); ok && h.Intn(2) == 0 {
			// The start is repeated while it is unanswered, and the second attempt is answered.
			h.schedule(modelHedgeDelay, func() { h.callNow(t, o, true, unanswered, again) })
			return
		}
		unanswered()
		return
	}
	h.callNow(t, o, false, unanswered, again)
}

// modelHedgeDelay is the time after which an unanswered start is repeated.
const modelHedgeDelay = 100 * time.Millisecond

// callNow lets a target carry out an order and applies the answer; outstanding means that an earlier attempt of the order may still be delivered.
func (h *modelHolder) callNow(t *modelTarget, o Order, outstanding bool, unanswered, again func()) {
	h.schedule(h.randomDuration(time.Millisecond, 30*time.Millisecond), func() {
		if !h.reachable(t) {
			h.deliverThroughCut(t, func() { h.execute(t, o) })
			unanswered()
			return
		}
		answer := h.execute(t, o)
		h.schedule(h.randomDuration(time.Millisecond, 30*time.Millisecond), func() {
			switch o := o.(type) {
			case StartOrder:
				if outstanding {
					h.table.StartOutstanding(o, h.now)
				}
				h.table.StartAnswered(o, answer, h.now)
			case StopOrder:
				h.table.StopAnswered(o, answer, h.now)
			}
			h.schedule(0, again)
		})
	})
}

func (h *modelHolder) execute(t *modelTarget, o Order) work.OrderReply {
	switch o := o.(type) {
	case StartOrder:
		return t.start(h.model, o.Start)
	case StopOrder:
		return t.stop(h.model, o, h.epoch)
	}
	return work.OrderReply{}
}
