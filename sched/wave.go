package sched

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Timing of maintenance waves.
const (
	// waveMargin is how long before its deadline a wave should be complete.
	waveMargin = 2 * time.Second
	// maxDrainWait is how long a host of a wave waits for its running items before they are abandoned; most items run for about a second.
	maxDrainWait = 4 * time.Second
)

// remaining returns the wave's known hosts that have not begun their maintenance.
func (t *Table) remaining(w *waveState) []*host {
	var list []*host
	for _, name := range w.Hosts {
		if h, ok := t.hosts[name]; ok && !w.begun[name] {
			list = append(list, h)
		}
	}
	return list
}

// planWave chooses the next hosts of a wave, those with the least disruption first and no more at once than the wave allows.
func (t *Table) planWave(w *waveState, now time.Duration) {
	if w.completed {
		return
	}
	left := t.remaining(w)
	if len(left) == 0 {
		if t.hostsDown(w) == 0 {
			w.completed, w.dirty = true, true
			t.logEvent("waveCompleted", orderName(HostOrder{Wave: w.Number}), "all hosts have begun maintenance", "")
		}
		return
	}
	slots := max(w.MaxConcurrent, 1) - t.hostsDown(w)
	for _, h := range left {
		if h.order != nil && h.order.Wave == w.Number && h.order.stage == stageDraining {
			slots--
		}
	}
	t.logWave(w, left, now)
	sort.SliceStable(left, func(a, b int) bool { return t.disruptionCost(left[a]) < t.disruptionCost(left[b]) })
	slots = t.drainServingHosts(w, left, slots, now)
	busySlots := t.busyHostAllowance(w, left, now)
	for _, h := range left {
		if slots <= 0 {
			return
		}
		if !h.canBeOrdered(now) || t.disruptionCost(h) >= servingItemCost {
			continue
		}
		if h.idleSince == 0 {
			if busySlots <= 0 {
				continue
			}
			busySlots--
		}
		t.beginDrain(w, h, now)
		slots--
	}
}

// servingCapDivisor divides the wave's cap to bound how many hosts with serving items drain at once.
const servingCapDivisor = 4

// drainServingHosts begins to drain hosts with serving items, those with the most first, and returns what is left of the wave's cap. They go before all others because their items are evicted one by one within the disruption budgets, which takes long.
func (t *Table) drainServingHosts(w *waveState, left []*host, slots int, now time.Duration) int {
	servingSlots := max(w.MaxConcurrent/servingCapDivisor, 1)
	for _, h := range left {
		if h.order != nil && h.order.Wave == w.Number && h.order.stage == stageDraining && t.disruptionCost(h) >= servingItemCost {
			servingSlots--
		}
	}
	byItems := slices.Clone(left)
	slices.SortStableFunc(byItems, func(a, b *host) int { return t.servingItems(b) - t.servingItems(a) })
	for _, h := range byItems {
		if slots <= 0 || servingSlots <= 0 {
			return slots
		}
		if !h.canBeOrdered(now) || t.disruptionCost(h) < servingItemCost {
			continue
		}
		t.beginDrain(w, h, now)
		slots--
		servingSlots--
	}
	return slots
}

// servingItems counts the serving items on a host.
func (t *Table) servingItems(h *host) int {
	n := 0
	if tgt, ok := t.targets[h.Target]; ok {
		for _, it := range tgt.runs {
			if it.step.spec.Serving {
				n++
			}
		}
	}
	return n
}

// canBeOrdered reports whether the host may be given an order.
func (h *host) canBeOrdered(now time.Duration) bool {
	return h.order == nil && h.State == work.HostUp && now >= h.notBefore
}

// beginDrain begins to drain a host for its maintenance.
func (t *Table) beginDrain(w *waveState, h *host, now time.Duration) {
	h.order = &pendingOrder{HostOrder: HostOrder{Host: h.Name, Wave: w.Number}, stage: stageDraining, stageSince: now}
	t.setCordoned(h, true)
}

// markMaintenanceDue marks the targets whose hosts still await maintenance, so that serving items are not placed where they would have to leave again.
func (t *Table) markMaintenanceDue() {
	for _, tgt := range t.sortedTargets {
		tgt.maintenanceDue = false
	}
	for _, w := range t.waveList {
		if w.completed {
			continue
		}
		for _, h := range t.remaining(w) {
			if tgt, ok := t.targets[h.Target]; ok {
				tgt.maintenanceDue = true
			}
		}
	}
}

// hostDrainTime is about how long the maintenance of a host with running items takes: a stop and a restart of each item, and the maintenance itself.
const hostDrainTime = 6 * time.Second

// busyHostAllowance is how many more busy hosts may be drained for the wave: as few at once as its deadline allows, since their pools lose them in the meantime.
func (t *Table) busyHostAllowance(w *waveState, left []*host, now time.Duration) int {
	timeLeft := max(t.waveDeadline(w)-now, time.Second)
	n := 1 + int(time.Duration(len(left))*hostDrainTime/timeLeft)
	for _, h := range left {
		if h.order != nil && h.order.Wave == w.Number && h.idleSince == 0 && t.disruptionCost(h) < servingItemCost {
			n--
		}
	}
	return n
}

// waveDeadline is when the wave should be complete.
func (t *Table) waveDeadline(w *waveState) time.Duration {
	return w.announcedAt + time.Duration(w.DeadlineS*float64(time.Second)) - waveMargin
}

// stepBlockingDrain returns a step whose disruption budget does not allow its items on the host to be evicted now, or nil.
func (t *Table) stepBlockingDrain(h *host, now time.Duration) *step {
	tgt, ok := t.targets[h.Target]
	if !ok {
		return nil
	}
	for _, it := range tgt.runs {
		if it.step.spec.Serving && !t.mayEvictAll(it.step, tgt, now) {
			return it.step
		}
	}
	return nil
}

// disruptionCost is the cost in millicores of taking the host away: the CPU in use, and servingItemCost for each serving item.
func (t *Table) disruptionCost(h *host) int64 {
	tgt, ok := t.targets[h.Target]
	if !ok {
		return 0
	}
	n := tgt.used.CPU
	for _, it := range tgt.runs {
		if it.step.spec.Serving {
			n += servingItemCost
		}
	}
	return n
}

// servingItemCost is the cost of a serving item in millicores; it exceeds a host's capacity, so that serving items outweigh any CPU in use.
const servingItemCost = 100_000

// mustForce reports whether the wave cannot wait any longer for the host's running items.
func (t *Table) mustForce(w *waveState, h *host, now time.Duration) bool {
	if now-h.order.stageSince > maxDrainWait {
		return true
	}
	timeLeft := t.waveDeadline(w) - now
	rounds := (len(t.remaining(w)) + max(w.MaxConcurrent, 1) - 1) / max(w.MaxConcurrent, 1)
	return timeLeft < time.Duration(rounds)*(t.bounds.MaintenanceTime+time.Second)
}

// WaveUpdate tells operators that a wave is running or completed.
type WaveUpdate struct {
	Wave      int64
	Completed bool
}

// WaveUpdates returns the changes of waves that have not been reported to operators; a completion is among them once its record is in a batch.
func (t *Table) WaveUpdates() []WaveUpdate {
	var updates []WaveUpdate
	for _, w := range t.waveList {
		progress := 1
		if w.completed && !w.dirty {
			progress = 2
		}
		if w.reported < progress {
			updates = append(updates, WaveUpdate{Wave: w.Number, Completed: progress == 2})
		}
	}
	return updates
}

// MarkWaveReported records that operators have been told of a change.
func (t *Table) MarkWaveReported(u WaveUpdate) {
	if w, ok := t.waves[u.Wave]; ok {
		w.reported = 1
		if u.Completed {
			w.reported = 2
		}
	}
}

// waveLogInterval is how often an incomplete wave logs what its hosts wait for.
const waveLogInterval = 4 * time.Second

// logWave logs what each remaining host waits for.
func (t *Table) logWave(w *waveState, left []*host, now time.Duration) {
	if now-w.loggedAt < waveLogInterval {
		return
	}
	w.loggedAt = now
	for _, h := range left {
		t.logEvent("waveWaits", h.Name, orderName(HostOrder{Wave: w.Number}), t.waitReason(h, now))
	}
}

// waitReason says what keeps a host from its maintenance.
func (t *Table) waitReason(h *host, now time.Duration) string {
	switch {
	case h.State != work.HostUp:
		return "host is " + string(h.State)
	case !t.mayOrder(h, now):
		return "holder may not order the host yet"
	case h.order != nil && h.order.Wave == 0:
		return orderName(h.order.HostOrder)
	case t.stepBlockingDrain(h, now) != nil:
		s := t.stepBlockingDrain(h, now)
		return fmt.Sprintf("disruption budget of %s: %d of %d unavailable, %d waiting", s.name(), t.countUnavailable(s), s.spec.MaxUnavailable, s.waiting)
	case h.order != nil:
		return "running items"
	default:
		return "wave cap is reached"
	}
}
