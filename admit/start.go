package admit

import (
	"math"
	"slices"
	"time"
)

// Admit decides on a new request; a waiter that is Queued gets its next decision over Wake.
func (t *Table) Admit(w *Waiter) Decision {
	row := &t.services[w.Service]
	if len(row.targets) == 0 {
		w.state = stateDone
		return RefusedNoTarget
	}
	tm := &t.teams[w.Team]
	if tm.running < tm.usable {
		if i := t.choose(w); i != NoTarget {
			t.start(w, i)
			return Started
		}
	}
	l := t.lane(w.Service, w.Team)
	if l.waiting >= w.MaxDepth {
		w.state = stateDone
		return RefusedQueueFull
	}
	t.enqueue(l, w)
	return Queued
}

func (t *Table) enqueue(l *lane, w *Waiter) {
	row := &t.services[w.Service]
	w.state = stateWaiting
	l.push(w)
	row.waiting++
	tm := &t.teams[w.Team]
	tm.waiting++
	if l.active < 0 {
		l.active = len(row.active)
		row.active = append(row.active, activeLane{key: l.key(tm.weight), lane: l})
		tm.services = append(tm.services, w.Service)
	}
}

// choose compares two random targets with a free slot and returns the less loaded one.
func (t *Table) choose(w *Waiter) TargetID {
	free := t.services[w.Service].free
	n := len(free)
	if n == 0 {
		return NoTarget
	}
	a := free[t.random.IntN(n)]
	b := free[t.random.IntN(n)]
	if a == w.Avoid && n > 1 {
		a = free[(t.targets[a].free+1)%n]
	}
	if b == w.Avoid {
		b = a
	}
	if t.targets[b].spare() > t.targets[a].spare() {
		return b
	}
	return a
}

func (t *Table) start(w *Waiter, i TargetID) {
	w.state = stateRunning
	w.Target = i
	t.targets[i].running++
	t.refresh(i)
	t.teams[w.Team].running++
	t.count(w, 1)
}

// count adds to the running requests of a waiter's service and lane.
func (t *Table) count(w *Waiter, delta int) {
	row := &t.services[w.Service]
	row.running += delta
	l := t.lane(w.Service, w.Team)
	l.running += delta
	t.rekey(row, l)
}

// Finish frees the slot of a started request and starts others in its place.
func (t *Table) Finish(w *Waiter) {
	if w.state != stateRunning {
		return
	}
	w.state = stateDone
	t.targets[w.Target].running--
	t.refresh(w.Target)
	t.teams[w.Team].running--
	t.count(w, -1)
	t.Dispatch(w.Service)
	// The freed unit of the limit may let the same team start elsewhere.
	for n := len(t.teams[w.Team].services) - 1; n >= 0; n-- {
		if n < len(t.teams[w.Team].services) {
			t.Dispatch(t.teams[w.Team].services[n])
		}
	}
}

// Abandon keeps the slot of a started request that was given up until its target must have stopped it.
func (t *Table) Abandon(w *Waiter, until time.Time) {
	t.lingers = append(t.lingers, linger{waiter: w, until: until})
}

// Cancel takes a request that waits out of its queue, and returns false when it has started or was refused.
func (t *Table) Cancel(w *Waiter) bool {
	if w.state != stateWaiting {
		return false
	}
	w.state = stateDone
	l := t.lane(w.Service, w.Team)
	l.waiting--
	t.left(l, w.Service)
	return true
}

// left counts a waiter out and takes an empty lane off the active list.
func (t *Table) left(l *lane, s ServiceID) {
	row := &t.services[s]
	row.waiting--
	tm := &t.teams[l.team]
	tm.waiting--
	if l.waiting > 0 {
		return
	}
	last := row.active[len(row.active)-1]
	row.active[l.active] = last
	last.lane.active = l.active
	row.active = row.active[:len(row.active)-1]
	l.active = -1
	i := slices.Index(tm.services, s)
	tm.services = slices.Delete(tm.services, i, i+1)
}

// Dispatch starts waiting requests of a service as long as a slot is free and a team may run more.
func (t *Table) Dispatch(s ServiceID) {
	for len(t.services[s].free) > 0 {
		l := t.pick(s)
		if l == nil {
			return
		}
		w := l.next()
		i := t.choose(w)
		l.pop(w)
		t.left(l, s)
		t.start(w, i)
		w.Decision <- Started
	}
}

// pick returns the lane that is furthest below its due part among those that may start a request.
func (t *Table) pick(s ServiceID) *lane {
	var best *lane
	least := math.Inf(1)
	for _, a := range t.services[s].active {
		if a.key >= least {
			continue
		}
		if tm := &t.teams[a.lane.team]; tm.running >= tm.usable {
			continue
		}
		best = a.lane
		least = a.key
	}
	return best
}

// WithinUsableSlots reports whether a team runs no more than its usable units allow.
func (t *Table) WithinUsableSlots(i TeamID) bool { return t.teams[i].running <= t.teams[i].usable }

// UsableSlots returns the slots that a team may occupy now through this entry process.
func (t *Table) UsableSlots(i TeamID) int { return t.teams[i].usable }
