package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// modelHolder drives a table as the agent does.
type modelHolder struct {
	*model
	table *Table
	epoch int64
	alive bool
	// unaware holders have a successor and do not know it yet.
	unaware bool
	busy    bool
	queues  map[work.TargetID][]Order
}

// takeOver begins a new epoch; the former holder is dead, or goes on for a while unaware.
func (w *model) takeOver() {
	if n := len(w.holders); n > 0 {
		former := w.holders[n-1]
		if w.Intn(2) == 0 {
			former.alive = false
		} else {
			former.unaware = true
			w.after(w.some(0, MaxUnconfirmedRenewal), func() { former.alive = false })
		}
	}
	w.epoch++
	h := &modelHolder{model: w, epoch: w.epoch, alive: true, queues: map[work.TargetID][]Order{}}
	w.holders = append(w.holders, h)
	h.table = New(testBounds(), WithToken(h.epoch, w.now))
	h.table.Configure(w.config)
	for _, j := range w.jobs {
		var p *work.JobProgress
		if value, ok := w.store[string(j.ID)]; ok {
			p = &work.JobProgress{}
			if err := work.Decode(value, p); err != nil {
				w.breaks("record of %s: %v", j.ID, err)
			}
		}
		h.table.LoadJob(j, p, w.now)
	}
	w.after(w.some(50*time.Millisecond, 500*time.Millisecond), h.plan)
	for _, t := range w.targets {
		w.after(w.some(10*time.Millisecond, 300*time.Millisecond), func() { h.renew(t) })
		w.after(w.some(10*time.Millisecond, 300*time.Millisecond), func() { h.send(t) })
	}
}

func (h *modelHolder) list() {
	for _, t := range h.targets {
		if t.alive && !t.cut {
			h.table.UpsertTarget(work.Target{ID: t.id, Pool: "p", Address: "a", Capacity: work.Resources{CPU: t.cpu, MemMB: 1000}, StartedMs: t.born}, h.now)
		}
	}
}

func (h *modelHolder) plan() {
	h.table.TakeEvents()
	if !h.alive || h.table.Deposed() {
		return
	}
	h.list()
	h.table.Plan(h.now)
	for _, o := range h.table.TakeOrders() {
		h.queues[TargetOf(o)] = append(h.queues[TargetOf(o)], o)
	}
	if !h.busy {
		h.flush()
	}
	h.after(h.some(20*time.Millisecond, 60*time.Millisecond), h.plan)
}

func (h *modelHolder) flush() {
	b, err := h.table.Flush(h.now)
	if err != nil {
		h.breaks("flush: %v", err)
		return
	}
	h.busy = true
	h.after(h.some(3*time.Millisecond, 300*time.Millisecond), func() {
		if h.epoch < h.model.epoch {
			// The fence rejects the append of a former holder.
			h.alive = false
			return
		}
		for _, e := range b.Entries {
			h.store[e.Key] = e.Value
		}
		h.after(h.some(time.Millisecond, 20*time.Millisecond), func() {
			h.busy = false
			h.table.Flushed(b)
			for _, o := range b.Orders {
				h.queues[TargetOf(o)] = append(h.queues[TargetOf(o)], o)
			}
		})
	})
}

// reached reports whether a call comes through now.
func (h *modelHolder) reached(t *modelTarget) bool { return t.alive && !t.cut }

func (h *modelHolder) renew(t *modelTarget) {
	if !h.alive {
		return
	}
	sent := h.now
	r := h.table.Renewal(t.id, h.now)
	again := func() { h.renew(t) }
	h.after(h.some(time.Millisecond, 30*time.Millisecond), func() {
		if !h.reached(t) {
			h.after(400*time.Millisecond, func() { h.table.CallUnanswered(t.id); h.after(300*time.Millisecond, again) })
			return
		}
		l := t.hold(h.model, r, h.epoch)
		h.after(h.some(time.Millisecond, 30*time.Millisecond), func() {
			h.table.RenewalAnswered(t.id, l, sent, h.now)
			for _, o := range h.table.TakeOrders() {
				h.queues[TargetOf(o)] = append(h.queues[TargetOf(o)], o)
			}
			h.after(h.some(50*time.Millisecond, 300*time.Millisecond), again)
		})
	})
}

func (h *modelHolder) send(t *modelTarget) {
	if !h.alive {
		return
	}
	again := func() { h.send(t) }
	queue := h.queues[t.id]
	if len(queue) == 0 {
		h.after(10*time.Millisecond, again)
		return
	}
	o := queue[0]
	h.queues[t.id] = queue[1:]
	if !h.table.StillNeeded(o) {
		h.after(0, again)
		return
	}
	if s, ok := o.(StartOrder); ok {
		s.Start.LeaseExpiryMs = h.table.LeaseFor(t.id, h.now)
		o = s
	}
	unanswered := func() {
		h.after(400*time.Millisecond, func() {
			if s, ok := o.(StartOrder); ok {
				h.table.StartUnanswered(s, h.now)
			}
			h.table.CallUnanswered(t.id)
			h.queues[t.id] = append(h.queues[t.id], o)
			h.after(150*time.Millisecond, again)
		})
	}
	// Some orders are carried out seconds later, and their answers are lost.
	if h.now < modelFaults && h.Intn(25) == 0 {
		life := t.born
		h.after(h.some(2*time.Second, 12*time.Second), func() {
			// No holder can keep a late order from a life that it has not met yet (docs/PROOF.md).
			if h.reached(t) && (t.born == life || h.now-t.began > meeting) {
				h.carry(t, o)
			}
		})
		unanswered()
		return
	}
	h.after(h.some(time.Millisecond, 30*time.Millisecond), func() {
		if !h.reached(t) {
			unanswered()
			return
		}
		answer := h.carry(t, o)
		h.after(h.some(time.Millisecond, 30*time.Millisecond), func() {
			switch o := o.(type) {
			case StartOrder:
				h.table.StartAnswered(o, answer, h.now)
			case StopOrder:
				h.table.StopAnswered(o, answer, h.now)
			}
			h.after(0, again)
		})
	})
}

func (h *modelHolder) carry(t *modelTarget, o Order) work.OrderReply {
	switch o := o.(type) {
	case StartOrder:
		return t.start(h.model, o.Start)
	case StopOrder:
		return t.stop(h.model, o, h.epoch)
	}
	return work.OrderReply{}
}
