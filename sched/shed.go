package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/shed"
	"lavenderwing.example/lavenderwing/work"
)

// admitByRoom decides on a job by the work that is served before it. It counts as room what the pool may get at most, because a wrong refusal costs a caller more than a late result. The job is accepted without a look at single jobs while all waiting work fits before it. The waiting work is that of the last classify, at most teamLoadInterval ago.
func (t *Table) admitByRoom(j *job, now time.Duration) Admission {
	p, ok := t.pools[j.queue.Pool]
	if !ok || p.hostCPU == 0 || t.ensureRunStats(j.queue.Name).runs < warmUpRuns {
		return Admission{}
	}
	waited := t.refusals.Waited(string(j.record.ID), now)
	d := t.demand(p, j.occurrences[0], now)
	d.Rank -= waited
	room := t.mostRoom(p)
	a := Admission{ExpectedWait: room.TimeFor(p.backlog), MaxWait: d.UsefulSlack}
	if a.ExpectedWait <= a.MaxWait {
		return a
	}
	verdict := shed.Admit(&d, p.demands, room)
	a.Refused, a.Reason, a.ExpectedWait = verdict.Refused, verdict.Reason, verdict.Wait
	if a.Refused {
		p.returns, a.RetryAfter = p.returns.Next(now, a.ExpectedWait-a.MaxWait, d.Work, room)
		t.refusals.Refused(string(j.record.ID), now)
		t.logEvent("refusedLoad", string(j.record.ID), string(a.Reason), refusalDetail(j, &a, waited))
	}
	return a
}

// mostRoom is the room that the pool may have at most: that of its hosts, also of those that do not answer at present, and of all hosts that are on their way or may be ordered.
func (t *Table) mostRoom(p *poolState) shed.Room {
	present := max(int64(len(p.hosts))*p.hostCPU, p.usableCPU)
	coming := max(p.incoming, p.wantedHosts-len(p.hosts), 0)
	for _, other := range t.pools {
		if other.standby && other != p {
			coming += len(other.hosts)
		}
	}
	// A pool may want more hosts than there are.
	coming = min(coming, max(len(t.sortedHosts)-len(p.hosts), 0))
	return shed.Room{Now: float64(max(present-p.serving, p.hostCPU)), Coming: float64(int64(coming) * p.hostCPU), Lead: t.bounds.MoveTime}
}

// expectedRoom is the room of the pool's usable targets and of the hosts that are on their way.
func (t *Table) expectedRoom(p *poolState) shed.Room {
	return shed.Room{Now: float64(max(p.usableCPU-p.serving, 0)), Coming: float64(int64(p.incoming) * p.hostCPU), Lead: t.bounds.MoveTime}
}

// demand returns the waiting work of an occurrence.
func (t *Table) demand(p *poolState, o *occurrence, now time.Duration) shed.Demand {
	j := o.steps[0].job
	weight := t.loadWeight(p.ensureTeamLoad(j.record.Team))
	d := shed.Demand{Team: j.record.Team, Weight: weight, Priority: j.queue.Priority, OverShare: t.overShare(j)}
	ready, lastItem := false, 0.0
	for _, s := range o.steps {
		if s.waiting == 0 || s.spec.Serving {
			continue
		}
		itemWork := float64(p.cpuEquivalent(s.spec.Reservation())) * t.stepMs(j, s.index) / 1000
		d.Work += float64(s.waiting) * itemWork
		if !s.dependenciesDone() {
			continue
		}
		d.Before += float64(s.waiting) * itemWork
		lastItem = itemWork
		if slack := t.slack(s, now); !ready || slack < d.Slack {
			d.Slack, ready = slack, true
		}
	}
	d.Before -= lastItem
	d.UsefulSlack = d.Slack + (tooLateFactor-1)*t.objective(j)
	d.Rank = d.Slack - j.refusedFor
	return d
}

// stepMs is the expected run time of a step's items in milliseconds: the part of the critical path that its successors do not account for.
func (t *Table) stepMs(j *job, index int) float64 {
	paths := t.criticalPaths(j)
	longest := 0.0
	for n := index + 1; n < len(j.record.Steps); n++ {
		for _, dependency := range j.record.Steps[n].After {
			if dependency == index {
				longest = max(longest, paths[n])
			}
		}
	}
	return max(paths[index]-longest, 0)
}

// readyStep returns a step that has waiting items and finished dependencies, or nil if there is none.
func (o *occurrence) readyStep() *step {
	for _, s := range o.steps {
		if s.waiting > 0 && s.dependenciesDone() {
			return s
		}
	}
	return nil
}

// classify measures each pool's backlog and, where a step has found no room that any target of the pool would offer, decides which jobs are still served in time.
func (t *Table) classify(now time.Duration) {
	for _, p := range t.pools {
		p.backlog, p.full = 0, false
		p.demands, p.demanding = p.demands[:0], p.demanding[:0]
	}
	for _, j := range t.activeJobs {
		if !j.active() || j.serving {
			continue
		}
		p := t.ensurePool(j.queue.Pool)
		for _, o := range j.occurrences {
			if o.unfinished == 0 {
				continue
			}
			s := o.readyStep()
			if s == nil {
				continue
			}
			d := t.demand(p, o, now)
			p.backlog += d.Work
			p.full = p.full || (s.noRoom && s.takesAnyTarget())
			p.demands, p.demanding = append(p.demands, d), append(p.demanding, o)
		}
	}
	for _, p := range t.pools {
		var classes []shed.Class
		if p.full {
			classes = shed.Arrange(p.demands, t.expectedRoom(p))
		}
		for i, o := range p.demanding {
			class := shed.InTime
			if p.full {
				class = classes[i]
			}
			for _, s := range o.steps {
				s.class = class
			}
		}
		clear(p.demanding)
	}
}

// takesAnyTarget reports whether all targets of the pool suit the step.
func (s *step) takesAnyTarget() bool {
	return !s.needsAdvice() && s.spec.RequiredLabel == "" && s.spec.MaxPerTarget == 0 && s.job.suspects == 0
}

// demote returns the later of a step's own lateness and that which its class in a full pool means.
func (s *step) demote(l lateness) lateness {
	switch s.class {
	case shed.Late:
		return max(l, late)
	case shed.Useless:
		return tooLate
	default:
		return l
	}
}

// rememberRefusal ranks an accepted job by the time at which it was first refused, so that it is not ordered after later ones.
func (t *Table) rememberRefusal(j *job, now time.Duration) {
	if t.features.Enabled(work.Shedding) {
		j.refusedFor = t.refusals.Waited(string(j.record.ID), now)
	}
}
