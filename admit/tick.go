package admit

import "time"

// Tick refuses expired requests, frees the slots of abandoned ones, ends backoffs and ejections of targets and starts the waiting requests that can start.
func (t *Table) Tick(now time.Time) {
	t.expireWaiters(now)
	t.releaseAbandoned(now)
	t.endBackoffs(now)
	for s := range t.services {
		t.Dispatch(ServiceID(s))
	}
}

func (t *Table) expireWaiters(now time.Time) {
	for s := range t.services {
		active := t.services[s].activeFlows
		// The loop goes backwards, because the removal of an emptied flow moves the last flow into its place, and the last flow was checked before.
		for n := len(active) - 1; n >= 0; n-- {
			t.expireFlow(active[n].flow, now)
		}
	}
}

// expireFlow refuses the expired waiters of a flow. It checks every waiter, because their deadlines are in no particular order.
func (t *Table) expireFlow(f *flow, now time.Time) {
	for _, q := range [2]*fifo{&f.urgent, &f.normal} {
		for n := range q.size {
			w := q.at(n)
			if w.state == stateWaiting && !now.Before(w.Deadline) {
				t.refuseExpired(f, w)
			}
		}
	}
}

// refuseExpired refuses a waiter whose deadline has passed; the decision says whether the team was at its limit.
func (t *Table) refuseExpired(f *flow, w *Waiter) {
	decision := RefusedTimeout
	if tm := &t.teams[w.Team]; tm.running >= tm.usableSlots {
		decision = RefusedLimit
	}
	w.state = stateDone
	f.waiting--
	t.removeWaiting(f, w.Service)
	w.Decision <- decision
}

// releaseAbandoned frees the slots of abandoned requests that their targets must have stopped by now.
func (t *Table) releaseAbandoned(now time.Time) {
	kept := t.abandoned[:0]
	for _, a := range t.abandoned {
		if now.Before(a.releaseAt) {
			kept = append(kept, a)
			continue
		}
		t.Finish(a.waiter)
	}
	t.abandoned = kept
}

// endBackoffs ends the backoffs of busy targets and the ejections whose time is over; an ejected target is then probed.
func (t *Table) endBackoffs(now time.Time) {
	for i := range t.targets {
		target := &t.targets[i]
		if target.busy && !now.Before(target.busyUntil) {
			target.busy = false
			t.updateFree(TargetID(i))
		}
		if target.ejected && !now.Before(target.ejectedUntil) {
			target.ejected = false
			target.probing = true
			t.services[target.service].ejected--
			t.updateFree(TargetID(i))
			t.onHealthChange(HealthChange{Target: target.name, Change: "probing"})
		}
	}
}

// Abandoned returns the number of abandoned requests that still have a slot, because they may still be running.
func (t *Table) Abandoned() int { return len(t.abandoned) }
