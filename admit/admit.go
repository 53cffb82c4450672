package admit

import (
	"math"
	"slices"
	"time"
)

// Admit starts, queues or refuses a new request. A queued waiter receives its final decision on its Decision channel.
func (t *Table) Admit(w *Waiter) Decision {
	svc := &t.services[w.Service]
	if len(svc.targets) == 0 {
		w.state = stateDone
		return RefusedNoTarget
	}
	tm := &t.teams[w.Team]
	if tm.running < tm.usableSlots {
		if i := t.chooseTarget(w); i != NoTarget {
			t.start(w, i)
			return Started
		}
	}
	f := t.flow(w.Service, w.Team)
	if f.waiting >= w.MaxDepth {
		w.state = stateDone
		return RefusedQueueFull
	}
	t.enqueue(f, w)
	return Queued
}

func (t *Table) enqueue(f *flow, w *Waiter) {
	svc := &t.services[w.Service]
	w.state = stateWaiting
	f.push(w)
	svc.waiting++
	tm := &t.teams[w.Team]
	tm.waiting++
	if f.activeIndex < 0 {
		f.activeIndex = len(svc.activeFlows)
		svc.activeFlows = append(svc.activeFlows, activeFlow{key: f.key(tm.weight), flow: f})
		tm.services = append(tm.services, w.Service)
	}
}

// chooseTarget picks two random targets with a free slot and returns the one with more free slots, avoiding w.Avoid if there is another.
func (t *Table) chooseTarget(w *Waiter) TargetID {
	free := t.services[w.Service].freeTargets
	n := len(free)
	if n == 0 {
		return NoTarget
	}
	a := free[t.random.IntN(n)]
	b := free[t.random.IntN(n)]
	if a == w.Avoid && n > 1 {
		a = free[(t.targets[a].freeIndex+1)%n]
	}
	if b == w.Avoid {
		b = a
	}
	if t.targets[b].freeSlots() > t.targets[a].freeSlots() {
		return b
	}
	return a
}

func (t *Table) start(w *Waiter, i TargetID) {
	w.state = stateRunning
	w.Target = i
	t.targets[i].running++
	t.updateFree(i)
	t.teams[w.Team].running++
	t.addRunning(w, 1)
}

// addRunning changes the number of running requests of a waiter's service and flow.
func (t *Table) addRunning(w *Waiter, delta int) {
	svc := &t.services[w.Service]
	svc.running += delta
	f := t.flow(w.Service, w.Team)
	f.running += delta
	t.updateKey(svc, f)
}

// Finish frees the slot of a started request and starts waiting requests in its place.
func (t *Table) Finish(w *Waiter) {
	if w.state != stateRunning {
		return
	}
	w.state = stateDone
	t.targets[w.Target].running--
	t.updateFree(w.Target)
	t.teams[w.Team].running--
	t.addRunning(w, -1)
	t.Dispatch(w.Service)
	// The team now uses one slot less of its limit, so it may start a request at another service.
	for n := len(t.teams[w.Team].services) - 1; n >= 0; n-- {
		if n < len(t.teams[w.Team].services) {
			t.Dispatch(t.teams[w.Team].services[n])
		}
	}
}

// Abandon gives up a started request, but keeps its slot until the time by which the target has stopped it.
func (t *Table) Abandon(w *Waiter, until time.Time) {
	t.abandoned = append(t.abandoned, abandonedRequest{waiter: w, releaseAt: until})
}

// Cancel cancels a request if it is waiting, and reports whether it was.
func (t *Table) Cancel(w *Waiter) bool {
	if w.state != stateWaiting {
		return false
	}
	w.state = stateDone
	f := t.flow(w.Service, w.Team)
	f.waiting--
	t.removeWaiting(f, w.Service)
	return true
}

// removeWaiting updates the counts for a waiter that left its flow, and deactivates the flow if it is empty.
func (t *Table) removeWaiting(f *flow, s ServiceID) {
	svc := &t.services[s]
	svc.waiting--
	tm := &t.teams[f.team]
	tm.waiting--
	if f.waiting > 0 {
		return
	}
	last := svc.activeFlows[len(svc.activeFlows)-1]
	svc.activeFlows[f.activeIndex] = last
	last.flow.activeIndex = f.activeIndex
	svc.activeFlows = svc.activeFlows[:len(svc.activeFlows)-1]
	f.activeIndex = -1
	i := slices.Index(tm.services, s)
	tm.services = slices.Delete(tm.services, i, i+1)
}

// Dispatch starts waiting requests of a service while it has free slots and teams below their limits.
func (t *Table) Dispatch(s ServiceID) {
	for len(t.services[s].freeTargets) > 0 {
		f := t.pickFlow(s)
		if f == nil {
			return
		}
		w := f.next()
		i := t.chooseTarget(w)
		f.pop(w)
		t.removeWaiting(f, s)
		t.start(w, i)
		w.Decision <- Started
	}
}

// pickFlow returns the flow that uses the smallest fraction of its quota among those whose team is below its limit, or nil.
func (t *Table) pickFlow(s ServiceID) *flow {
	var best *flow
	least := math.Inf(1)
	for _, a := range t.services[s].activeFlows {
		if a.key >= least {
			continue
		}
		if tm := &t.teams[a.flow.team]; tm.running >= tm.usableSlots {
			continue
		}
		best = a.flow
		least = a.key
	}
	return best
}

// WithinUsableSlots reports whether a team runs no more requests than it has usable slots.
func (t *Table) WithinUsableSlots(i TeamID) bool { return t.teams[i].running <= t.teams[i].usableSlots }

// UsableSlots returns the number of slots that a team may occupy through this entry process.
func (t *Table) UsableSlots(i TeamID) int { return t.teams[i].usableSlots }
