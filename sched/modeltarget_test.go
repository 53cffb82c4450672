package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

type modelRun struct {
	run   int
	until time.Duration
	cpu   int64
}

type modelTarget struct {
	id    work.TargetID
	cpu   int64
	alive bool
	cut   bool
	began time.Duration
	born  int64
	// speed is that of its clock.
	speed float64
	token int64
	lease int64
	runs  map[work.ItemID]*modelRun
	last  map[work.ItemID]int
	ends  []work.EndedRun
	next  int64
	// lapsedAt is when its lease was last found lapsed.
	lapsedAt time.Duration
}

func (w *model) crash(t *modelTarget) {
	if !t.alive {
		// A second rebirth would reset the clock of a life whose runs go on, which no target does.
		return
	}
	t.alive = false
	t.runs = map[work.ItemID]*modelRun{}
	w.after(w.some(100*time.Millisecond, 4*time.Second), func() {
		t.alive, t.began, t.born = true, w.now, t.born+10
		t.token, t.lease, t.next, t.ends = 0, 0, 0, nil
		t.last = map[work.ItemID]int{}
	})
}

// step lets runs end and leases lapse.
func (w *model) step() {
	for _, t := range w.targets {
		if t.clock(w.now) > t.lease {
			t.lapsedAt = w.now
		}
		for _, j := range w.jobs {
			for s := range j.Steps {
				for n := range j.Steps[s].Count {
					id := work.ItemID{Job: j.ID, Step: s, Index: n}
					if r, ok := t.runs[id]; ok {
						w.stepRun(t, id, r)
					}
				}
			}
		}
	}
	w.after(20*time.Millisecond, w.step)
}

func (w *model) stepRun(t *modelTarget, id work.ItemID, r *modelRun) {
	end := work.RunDone
	switch {
	case t.clock(w.now) > t.lease:
		end = work.RunLeaseExpired
	case w.now >= r.until:
		w.done[id] = w.now
	default:
		return
	}
	delete(t.runs, id)
	t.next++
	t.ends = append(t.ends, work.EndedRun{Sequence: t.next, Item: id, Run: r.run, Outcome: end})
}

func (t *modelTarget) clock(now time.Duration) int64 {
	return int64(float64((now-t.began).Milliseconds())*t.speed) + 1
}

func (t *modelTarget) start(w *model, s work.StartRequest) work.OrderReply {
	a := work.OrderReply{ClockMs: t.clock(w.now)}
	switch {
	case s.FencingToken < t.token:
		a.Status = work.OrderFenced
		return a
	case t.runs[s.Item] != nil && t.runs[s.Item].run == s.Run:
		return a
	case s.Run <= t.last[s.Item]:
		a.Status = work.OrderSuperseded
		return a
	case s.LeaseExpiryMs < a.ClockMs:
		a.Status = work.OrderLeaseExpired
		return a
	}
	t.token = s.FencingToken
	t.lease = max(t.lease, min(s.LeaseExpiryMs, a.ClockMs+10_000))
	w.begin(t, s)
	return a
}

func (w *model) begin(t *modelTarget, s work.StartRequest) {
	for _, other := range w.targets {
		if other.runs[s.Item] != nil {
			w.breaks("%v run %d starts on %s while it runs on %s", s.Item, s.Run, t.id, other.id)
		}
	}
	if w.noted[s.Item] {
		w.breaks("%v run %d starts on %s after its end", s.Item, s.Run, t.id)
	}
	w.started[s.Item] = w.now
	var step *work.Step
	for _, j := range w.jobs {
		if j.ID == s.Item.Job {
			step = &j.Steps[s.Item.Step]
			for _, a := range step.After {
				for n := range j.Steps[a].Count {
					if w.done[work.ItemID{Job: j.ID, Step: a, Index: n}] == 0 {
						w.breaks("%v starts too early", s.Item)
					}
				}
			}
		}
	}
	used := step.Demand.CPU
	for _, r := range t.runs {
		used += r.cpu
	}
	if used > t.cpu {
		w.breaks("%s runs %d", t.id, used)
	}
	t.last[s.Item] = s.Run
	t.runs[s.Item] = &modelRun{run: s.Run, until: w.now + w.some(300*time.Millisecond, 1500*time.Millisecond), cpu: step.Demand.CPU}
}

func (t *modelTarget) stop(w *model, o StopOrder, token int64) work.OrderReply {
	a := work.OrderReply{ClockMs: t.clock(w.now)}
	if token < t.token {
		a.Status = work.OrderFenced
		return a
	}
	t.token = token
	if r := t.runs[o.Item]; r != nil && r.run <= o.Run {
		delete(t.runs, o.Item)
		t.next++
		t.ends = append(t.ends, work.EndedRun{Sequence: t.next, Item: o.Item, Run: r.run, Outcome: work.RunStopped})
	}
	t.last[o.Item] = max(t.last[o.Item], o.Run)
	return a
}

func (t *modelTarget) hold(w *model, r Renewal, token int64) work.RenewalReply {
	l := work.RenewalReply{ClockMs: t.clock(w.now), StartedMs: t.born}
	if token < t.token {
		l.Status = work.OrderFenced
		return l
	}
	t.token = token
	t.lease = max(t.lease, min(r.LeaseMs, l.ClockMs+10_000))
	kept := t.ends[:0]
	for _, e := range t.ends {
		if e.Sequence > r.AcknowledgedEnd {
			kept = append(kept, e)
			continue
		}
		w.note(t, e)
	}
	t.ends = kept
	l.Ended = append(l.Ended, t.ends...)
	for _, j := range w.jobs {
		for s := range j.Steps {
			for n := range j.Steps[s].Count {
				id := work.ItemID{Job: j.ID, Step: s, Index: n}
				if run := t.runs[id]; run != nil {
					l.Running = append(l.Running, work.ActiveRun{Item: id, Run: run.run, SpeedPercent: 100})
				}
			}
		}
	}
	return l
}

// note takes the acknowledgement of an end, which does not count if the lease lapsed in between.
func (w *model) note(t *modelTarget, e work.EndedRun) {
	if e.Outcome != work.RunDone || t.lapsedAt >= w.done[e.Item] {
		return
	}
	w.noted[e.Item] = true
	if w.started[e.Item] > w.done[e.Item] {
		w.breaks("%v was started after its end, which is acknowledged", e.Item)
	}
}
