package admit

import (
	"math"
	"slices"
	"time"
)

// Admit starts, queues or refuses a new request. A request that starts has a slot of w.Target, to which the caller sends it. A queued waiter receives its final decision on its Decision channel.
func (t *Table) Admit(w *Waiter) Decision {
	svc := &t.services[w.Service]
	if len(svc.targets) == 0 {
		w.state = stateDone
		return RefusedNoTarget
	}
	tm := &t.teams[w.Team]
	if tm.running < tm.usableSlots {
		if id := t.chooseTarget(w); id != NoTarget {
			t.start(w, id)
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

// enqueue adds a waiter to its flow and, if the flow had no waiting requests, adds the flow to the active flows of the service and the service to the team's list.
func (t *Table) enqueue(f *flow, w *Waiter) {
	svc := &t.services[w.Service]
	w.state = stateWaiting
	f.push(w)
	svc.waiting++
	tm := &t.teams[w.Team]
	tm.waiting++
	if f.activeIndex < 0 {
		f.activeIndex = len(svc.activeFlows)
		svc.activeFlows = append(svc.activeFlows, activeFlow{quotaUsage: f.quotaUsage(tm.weight), flow: f})
		tm.services = append(tm.services, w.Service)
	}
}

// chooseTarget makes two random choices, which may be the same, among the targets with a free slot, and returns the one with more free slots. It returns w.Avoid only if no other target has a free slot, and NoTarget if none has.
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

// start assigns the request a slot of the target. It does not send anything; the caller of Admit does.
func (t *Table) start(w *Waiter, id TargetID) {
	w.state = stateRunning
	w.Target = id
	t.targets[id].running++
	t.updateFree(id)
	t.teams[w.Team].running++
	t.addRunning(w, 1)
}

// addRunning changes the number of running requests of a waiter's service and flow.
func (t *Table) addRunning(w *Waiter, delta int) {
	svc := &t.services[w.Service]
	svc.running += delta
	f := t.flow(w.Service, w.Team)
	f.running += delta
	t.updateQuotaUsage(svc, f)
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
	// The team now uses one slot less of its limit, so it may start a request at another service. The loop goes backwards, because Dispatch removes a service from the list when the team has no more waiting requests there.
	for n := len(t.teams[w.Team].services) - 1; n >= 0; n-- {
		if n < len(t.teams[w.Team].services) {
			t.Dispatch(t.teams[w.Team].services[n])
		}
	}
}

// Abandon marks a started request whose answer the caller no longer awaits. The target may still be running it, so the request keeps its slot until the given time, by which the target must have stopped it.
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

// removeWaiting updates the numbers of waiting requests of the service and of the team after a waiter left its flow; the flow's own number must be up to date. If the flow has no more waiting requests, removeWaiting removes it from the active flows of the service and the service from the team's list.
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

// Dispatch starts waiting requests of a service while the service has free slots and a team with waiting requests has usable slots left.
func (t *Table) Dispatch(s ServiceID) {
	for len(t.services[s].freeTargets) > 0 {
		f := t.pickFlow(s)
		if f == nil {
			return
		}
		w := f.next()
		id := t.chooseTarget(w)
		f.pop(w)
		t.removeWaiting(f, s)
		t.start(w, id)
		w.Decision <- Started
	}
}

// pickFlow returns the flow with the lowest quotaUsage among those whose team has usable slots left, or nil if there is none.
func (t *Table) pickFlow(s ServiceID) *flow {
	var best *flow
	least := math.Inf(1)
	for _, a := range t.services[s].activeFlows {
		if a.quotaUsage >= least {
			continue
		}
		if tm := &t.teams[a.flow.team]; tm.running >= tm.usableSlots {
			continue
		}
		best = a.flow
		least = a.quotaUsage
	}
	return best
}

// WithinUsableSlots reports whether a team runs no more requests than it has usable slots.
func (t *Table) WithinUsableSlots(id TeamID) bool {
	return t.teams[id].running <= t.teams[id].usableSlots
}

// UsableSlots returns the number of slots that a team may occupy through this entry process.
func (t *Table) UsableSlots(id TeamID) int { return t.teams[id].usableSlots }
