package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

type modelRun struct {
	run   int
	until time.Duration
	cpu   int64
	// startedAt is when the run began, and late means that its start was carried out late.
	startedAt time.Duration
	late      bool
}

type modelTarget struct {
	address string
	id      work.TargetID
	cpu     int64
	// reportedCPU is the capacity that the target last reported, and pastCPU holds those that it had.
	reportedCPU  int64
	pastCPU      []pastCapacity
	reports      int
	lastReportAt time.Duration
	// lateOrderSentAt is when the order was sent that the target carries out late now, 0 otherwise.
	lateOrderSentAt time.Duration
	alive           bool
	partitioned     bool
	// cutAt is when the last cut began whose runs are expected to be requeued.
	cutAt       time.Duration
	startedAt   time.Duration
	incarnation int64
	// clockRate is the speed of the target's clock.
	clockRate float64
	token     int64
	lease     int64
	runs      map[work.ItemID]*modelRun
	lastRun   map[work.ItemID]int
	ends      []work.EndedRun
	lastEnd   int64
	// leaseLapsedAt is when the target's lease was last found expired.
	leaseLapsedAt time.Duration
	// replacement is the target that the host has had since this one crashed, nil if it keeps its name.
	replacement *modelTarget
	// lost means that the target is down for good.
	lost bool
	// unhealthyUntil is the time until which the target rejects orders, and hidden means that the host list lacks it while it is cut off.
	unhealthyUntil time.Duration
	hidden         bool
	// entryIncarnation is the incarnation in the target's last entry in the store, 0 if there is none.
	entryIncarnation int64
	// calmSince is since when the target has been up, reachable and healthy.
	calmSince time.Duration
}

func (m *model) crash(t *modelTarget) {
	if !t.alive {
		// A second restart would reset the clock of an incarnation whose runs continue, which no target does.
		return
	}
	t.alive = false
	m.cancels.trace(m, "%s crashes", t.id)
	t.runs = map[work.ItemID]*modelRun{}
	if m.crashes.enabled && m.Intn(2) == 0 {
		m.crashes.replace(m, t)
		return
	}
	m.schedule(m.randomDuration(100*time.Millisecond, 4*time.Second), func() {
		if t.lost {
			return
		}
		t.alive, t.startedAt, t.incarnation = true, m.now, t.incarnation+10
		t.token, t.lease, t.lastEnd, t.ends = 0, 0, 0, nil
		t.lastRun = map[work.ItemID]int{}
	})
}

// stepTargets ends the runs that are finished or whose lease has expired.
func (m *model) stepTargets() {
	for _, t := range m.targets {
		if t.clock(m.now) > t.lease {
			t.leaseLapsedAt = m.now
		}
		for _, j := range m.jobs {
			for s := range j.Steps {
				for n := range j.Steps[s].Count {
					id := work.ItemID{Job: j.ID, Step: s, Index: n}
					if r, ok := t.runs[id]; ok {
						m.stepRun(t, id, r)
					}
				}
			}
		}
	}
	m.cancels.check(m)
	m.losses.check(m)
	m.schedule(20*time.Millisecond, m.stepTargets)
}

func (m *model) stepRun(t *modelTarget, id work.ItemID, r *modelRun) {
	end := work.RunDone
	switch {
	case t.clock(m.now) > t.lease:
		end = work.RunLeaseExpired
	case m.now >= r.until:
		m.done[id] = m.now
	default:
		return
	}
	m.cancels.trace(m, "%s: %v run %d ends: %v", t.id, id, r.run, end)
	delete(t.runs, id)
	t.lastEnd++
	t.ends = append(t.ends, work.EndedRun{Sequence: t.lastEnd, Item: id, Run: r.run, Outcome: end})
}

func (t *modelTarget) clock(now time.Duration) int64 {
	return int64(float64((now-t.startedAt).Milliseconds())*t.clockRate) + 1
}

func (t *modelTarget) start(m *model, s work.StartRequest) work.OrderReply {
	a := work.OrderReply{ClockMs: t.clock(m.now)}
	switch {
	case t.unhealthy(m):
		a.Status = work.OrderUnhealthy
		return a
	case s.FencingToken < t.token:
		a.Status = work.OrderFenced
		return a
	case t.runs[s.Item] != nil && t.runs[s.Item].run == s.Run:
		return a
	case s.Run <= t.lastRun[s.Item]:
		a.Status = work.OrderSuperseded
		return a
	case s.LeaseExpiryMs < a.ClockMs:
		a.Status = work.OrderLeaseExpired
		return a
	}
	t.token = s.FencingToken
	t.lease = max(t.lease, min(s.LeaseExpiryMs, a.ClockMs+10_000))
	m.begin(t, s)
	return a
}

func (m *model) begin(t *modelTarget, s work.StartRequest) {
	for _, other := range m.targets {
		if other.runs[s.Item] != nil {
			m.reportViolation("%v run %d starts on %s while it runs on %s", s.Item, s.Run, t.id, other.id)
		}
	}
	if m.acknowledged[s.Item] {
		m.reportViolation("%v run %d starts on %s after its end was acknowledged", s.Item, s.Run, t.id)
	}
	m.started[s.Item] = m.now
	var step *work.Step
	for _, j := range m.jobs {
		if j.ID == s.Item.Job {
			step = &j.Steps[s.Item.Step]
			for _, a := range step.After {
				for n := range j.Steps[a].Count {
					if m.done[work.ItemID{Job: j.ID, Step: a, Index: n}] == 0 {
						m.reportViolation("%v starts before an earlier step has ended", s.Item)
					}
				}
			}
		}
	}
	used := step.Demand.CPU
	for _, r := range t.runs {
		used += r.cpu
	}
	if used > t.allowedCPU(m.now) {
		m.reportViolation("%s runs %d millicores, more than its capacity", t.id, used)
	}
	m.crashes.begin(m, t, s.Item)
	t.lastRun[s.Item] = s.Run
	t.runs[s.Item] = &modelRun{run: s.Run, until: m.now + m.urgent.runTime(m, step), cpu: step.Demand.CPU}
	m.cancels.begun(m, t, s, step)
}

func (t *modelTarget) stop(m *model, o StopOrder, token int64) work.OrderReply {
	a := work.OrderReply{ClockMs: t.clock(m.now)}
	if t.unhealthy(m) {
		a.Status = work.OrderUnhealthy
		return a
	}
	if token < t.token {
		a.Status = work.OrderFenced
		return a
	}
	t.token = token
	m.cancels.trace(m, "%s: stop of %v run %d", t.id, o.Item, o.Run)
	if r := t.runs[o.Item]; r != nil && r.run <= o.Run {
		delete(t.runs, o.Item)
		t.lastEnd++
		t.ends = append(t.ends, work.EndedRun{Sequence: t.lastEnd, Item: o.Item, Run: r.run, Outcome: work.RunStopped})
	}
	t.lastRun[o.Item] = max(t.lastRun[o.Item], o.Run)
	return a
}

func (t *modelTarget) renew(m *model, r Renewal, token int64) work.RenewalReply {
	l := work.RenewalReply{ClockMs: t.clock(m.now), StartedMs: t.incarnation}
	if token < t.token {
		l.Status = work.OrderFenced
		return l
	}
	t.token = token
	t.lease = max(t.lease, min(r.LeaseExpiryMs, l.ClockMs+10_000))
	kept := t.ends[:0]
	for _, e := range t.ends {
		if e.Sequence > r.AcknowledgedEnd {
			kept = append(kept, e)
			continue
		}
		m.acknowledge(t, e)
	}
	t.ends = kept
	l.Ended = append(l.Ended, t.ends...)
	if m.maxListedEnds > 0 && len(l.Ended) >= m.maxListedEnds {
		l.Ended, l.MoreEnds = l.Ended[:m.maxListedEnds], true
	}
	for _, j := range m.jobs {
		for s := range j.Steps {
			for n := range j.Steps[s].Count {
				id := work.ItemID{Job: j.ID, Step: s, Index: n}
				if run := t.runs[id]; run != nil {
					l.Running = append(l.Running, work.ActiveRun{Item: id, Run: run.run, Percent: 100})
				}
			}
		}
	}
	return l
}

// acknowledge records that the target has received the acknowledgement of an end. The acknowledgement does not count if the lease expired after the end, because the item may have been requeued meanwhile.
func (m *model) acknowledge(t *modelTarget, e work.EndedRun) {
	if e.Outcome != work.RunDone || t.leaseLapsedAt >= m.done[e.Item] {
		return
	}
	m.acknowledged[e.Item] = true
	if m.started[e.Item] > m.done[e.Item] {
		m.reportViolation("%v was started again after an end that is now acknowledged", e.Item)
	}
}
