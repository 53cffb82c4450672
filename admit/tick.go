package admit

import "time"

// Tick refuses requests whose deadline passed, frees lingering slots, lets ejected targets prove themselves and starts what can start.
func (t *Table) Tick(now time.Time) {
	t.expireWaiters(now)
	t.expireLingers(now)
	t.readmit(now)
	for s := range t.services {
		t.Dispatch(ServiceID(s))
	}
}

func (t *Table) expireWaiters(now time.Time) {
	for s := range t.services {
		active := t.services[s].active
		// Lanes that become empty leave the list, which moves only later ones.
		for n := len(active) - 1; n >= 0; n-- {
			t.expireLane(active[n].lane, now)
		}
	}
}

// expireLane looks at every waiter, because requests of one lane may have different deadlines.
func (t *Table) expireLane(l *lane, now time.Time) {
	for _, f := range [2]*fifo{&l.urgent, &l.rest} {
		for n := range f.size {
			w := f.at(n)
			if w.state == stateWaiting && !now.Before(w.Deadline) {
				t.refuseLate(l, w)
			}
		}
	}
}

func (t *Table) refuseLate(l *lane, w *Waiter) {
	decision := RefusedTimeout
	if tm := &t.teams[w.Team]; tm.running >= tm.usable {
		decision = RefusedLimit
	}
	w.state = stateDone
	l.waiting--
	t.left(l, w.Service)
	w.Decision <- decision
}

func (t *Table) expireLingers(now time.Time) {
	kept := t.lingers[:0]
	for _, g := range t.lingers {
		if now.Before(g.until) {
			kept = append(kept, g)
			continue
		}
		t.Finish(g.waiter)
	}
	t.lingers = kept
}

func (t *Table) readmit(now time.Time) {
	for i := range t.targets {
		target := &t.targets[i]
		if target.busy && !now.Before(target.busyUntil) {
			target.busy = false
			t.refresh(TargetID(i))
		}
		if target.ejected && !now.Before(target.until) {
			target.ejected = false
			target.probing = true
			t.services[target.service].ejected--
			t.refresh(TargetID(i))
			t.timeline(HealthChange{Target: target.name, Change: "probing"})
		}
	}
}

// Abandoned returns the number of given-up requests that may still run.
func (t *Table) Abandoned() int { return len(t.lingers) }
