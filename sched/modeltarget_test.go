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
	ends  []work.EndedRow
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
	end := work.EndDone
	switch {
	case t.clock(w.now) > t.lease:
		end = work.EndLapsed
	case w.now >= r.until:
		w.done[id] = w.now
	default:
		return
	}
	delete(t.runs, id)
	t.next++
	t.ends = append(t.ends, work.EndedRow{Number: t.next, Item: id, Run: r.run, End: end})
}

func (t *modelTarget) clock(now time.Duration) int64 {
	return int64(float64((now-t.began).Milliseconds())*t.speed) + 1
}

func (t *modelTarget) start(w *model, s work.Start) work.Answered {
	a := work.Answered{ClockMs: t.clock(w.now)}
	switch {
	case s.Token < t.token:
		a.Answer = work.AnswerFenced
		return a
	case t.runs[s.Item] != nil && t.runs[s.Item].run == s.Run:
		return a
	case s.Run <= t.last[s.Item]:
		a.Answer = work.AnswerOld
		return a
	case s.LeaseMs < a.ClockMs:
		a.Answer = work.AnswerLate
		return a
	}
	t.token = s.Token
	t.lease = max(t.lease, min(s.LeaseMs, a.ClockMs+10_000))
	w.begin(t, s)
	return a
}

func (w *model) begin(t *modelTarget, s work.Start) {
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

func (t *modelTarget) stop(w *model, o StopOrder, token int64) work.Answered {
	a := work.Answered{ClockMs: t.clock(w.now)}
	if token < t.token {
		a.Answer = work.AnswerFenced
		return a
	}
	t.token = token
	if r := t.runs[o.Item]; r != nil && r.run <= o.Run {
		delete(t.runs, o.Item)
		t.next++
		t.ends = append(t.ends, work.EndedRow{Number: t.next, Item: o.Item, Run: r.run, End: work.EndStopped})
	}
	t.last[o.Item] = max(t.last[o.Item], o.Run)
	return a
}

func (t *modelTarget) hold(w *model, r Renewal, token int64) work.Listing {
	l := work.Listing{ClockMs: t.clock(w.now), BornMs: t.born}
	if token < t.token {
		l.Answer = work.AnswerFenced
		return l
	}
	t.token = token
	t.lease = max(t.lease, min(r.LeaseMs, l.ClockMs+10_000))
	kept := t.ends[:0]
	for _, e := range t.ends {
		if e.Number > r.Acknowledged {
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
					l.Running = append(l.Running, work.RunningRow{Item: id, Run: run.run, Percent: 100})
				}
			}
		}
	}
	return l
}

// note takes the acknowledgement of an end, which does not count if the lease lapsed in between.
func (w *model) note(t *modelTarget, e work.EndedRow) {
	if e.End != work.EndDone || t.lapsedAt >= w.done[e.Item] {
		return
	}
	w.noted[e.Item] = true
	if w.started[e.Item] > w.done[e.Item] {
		w.breaks("%v was started after its end, which is acknowledged", e.Item)
	}
}
