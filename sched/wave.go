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
	// waveCompletionMargin is how long before the operator's deadline (DeadlineS) a wave is planned to be complete.
	waveCompletionMargin = 2 * time.Second
	// maxDrainWait is how long a host of a wave waits for its running items before it is taken away nevertheless and they have to run again; most items run for about a second.
	maxDrainWait = 4 * time.Second
)

// hostsAwaitingMaintenance returns those of the wave's hosts that are in the cloud's host list and have not begun their maintenance.
func (t *Table) hostsAwaitingMaintenance(w *waveState) []*host {
	var list []*host
	for _, name := range w.Hosts {
		if h, ok := t.hosts[name]; ok && !w.begun[name] {
			list = append(list, h)
		}
	}
	return list
}

// planWave begins to drain the next hosts of a wave, no more at once than the wave allows. Hosts with serving items go first (see drainServingHosts), the others in the order of the least disruption.
func (t *Table) planWave(w *waveState, now time.Duration) {
	if w.completed || !w.announced {
		return
	}
	left := t.hostsAwaitingMaintenance(w)
	if len(left) == 0 {
		if t.hostsDown(w, nil, now) == 0 && t.missingHostsGone(w, now) {
			w.completed, w.dirty = true, true
			w.settleHosts()
			t.logEvent("waveCompleted", orderName(HostOrder{Wave: w.Number}), "all hosts have begun maintenance", "")
		}
		return
	}
	allowance := max(w.MaxConcurrent, 1) - t.hostsDown(w, nil, now)
	for _, h := range left {
		switch {
		case t.hasInheritedOrder(w, h, now):
			// The host has its place in the wave's cap already.
			if h.canBeginDrain(now) {
				t.beginDrain(w, h, now)
			}
		// An order that may have been executed is among those that hostsDown counts.
		case h.order != nil && h.order.Wave == w.Number && h.order.stage == stageDraining && !h.order.maybeExecuted:
			allowance--
		}
	}
	t.logWave(w, left, now)
	sort.SliceStable(left, func(a, b int) bool { return t.disruptionScore(left[a]) < t.disruptionScore(left[b]) })
	allowance = t.drainServingHosts(w, left, allowance, now)
	busyAllowance := t.busyHostAllowance(w, left, now)
	for _, h := range left {
		if allowance <= 0 {
			return
		}
		if !h.canBeginDrain(now) || t.disruptionScore(h) >= servingItemScore {
			continue
		}
		if h.idleSince == 0 {
			if busyAllowance <= 0 {
				continue
			}
			busyAllowance--
		}
		t.beginDrain(w, h, now)
		allowance--
	}
}

// goneHostDelay is how long a host of a wave must be missing from the cloud's lists before it counts as gone for good; a host that is only left out of a list still needs its maintenance.
const goneHostDelay = 5 * time.Second

// missingHostsGone reports whether all hosts of the wave that have not begun their maintenance are gone for good.
func (t *Table) missingHostsGone(w *waveState, now time.Duration) bool {
	for _, name := range w.Hosts {
		if w.begun[name] || t.hosts[name] != nil {
			continue
		}
		if since, missing := w.missingSince[name]; !missing || now-since < goneHostDelay {
			return false
		}
	}
	return true
}

// updateMissing notes since when hosts of the wave have been missing from the lists, given one that was requested at the given time.
func (w *waveState) updateMissing(present map[string]bool, sent time.Duration) {
	for _, name := range w.Hosts {
		if present[name] {
			delete(w.missingSince, name)
		} else if _, known := w.missingSince[name]; !known {
			w.missingSince[name] = sent
		}
	}
}

// servingCapDivisor divides the wave's cap to bound how many hosts with serving items drain at once.
const servingCapDivisor = 4

// drainServingHosts begins to drain hosts with serving items, those with the most first, and returns what is left of the wave's cap. These hosts go before all others because serving items are evicted one by one within the disruption budgets, which takes long.
func (t *Table) drainServingHosts(w *waveState, left []*host, allowance int, now time.Duration) int {
	servingAllowance := max(w.MaxConcurrent/servingCapDivisor, 1)
	for _, h := range left {
		if h.order != nil && h.order.Wave == w.Number && h.order.stage == stageDraining && t.disruptionScore(h) >= servingItemScore {
			servingAllowance--
		}
	}
	byItems := slices.Clone(left)
	slices.SortStableFunc(byItems, func(a, b *host) int { return t.servingItems(b) - t.servingItems(a) })
	for _, h := range byItems {
		if allowance <= 0 || servingAllowance <= 0 {
			return allowance
		}
		if !h.canBeginDrain(now) || t.disruptionScore(h) < servingItemScore {
			continue
		}
		t.beginDrain(w, h, now)
		allowance--
		servingAllowance--
	}
	return allowance
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

// canBeginDrain reports whether the host is up, has no order, and is past the pause after a failed one. Whether the order may be sent is decided by mayOrder.
func (h *host) canBeginDrain(now time.Duration) bool {
	return h.order == nil && h.State == work.HostUp && now >= h.notBefore
}

// beginDrain begins to drain a host for its maintenance.
func (t *Table) beginDrain(w *waveState, h *host, now time.Duration) {
	h.order = &pendingOrder{HostOrder: HostOrder{Host: h.Name, Wave: w.Number}, stage: stageDraining, stageSince: now}
	t.setCordoned(h, true)
}

// markMaintenanceDue marks the targets whose hosts still await maintenance, so that serving items are not placed where they would soon be evicted again.
func (t *Table) markMaintenanceDue() {
	for _, tgt := range t.sortedTargets {
		tgt.maintenanceDue = false
	}
	for _, w := range t.waveList {
		if w.completed {
			continue
		}
		for _, h := range t.hostsAwaitingMaintenance(w) {
			if tgt, ok := t.targets[h.Target]; ok {
				tgt.maintenanceDue = true
			}
		}
	}
}

// busyHostMaintenanceTime is about how long the maintenance of a host with running items takes: a stop and a restart of each item, and the maintenance itself.
const busyHostMaintenanceTime = 6 * time.Second

// busyHostAllowance is how many more busy hosts the wave may begin to drain: as few at once as its planned completion allows, because a pool does without a host while the host drains.
func (t *Table) busyHostAllowance(w *waveState, left []*host, now time.Duration) int {
	timeLeft := max(t.plannedCompletion(w)-now, time.Second)
	n := 1 + int(time.Duration(len(left))*busyHostMaintenanceTime/timeLeft)
	for _, h := range left {
		if h.order != nil && h.order.Wave == w.Number && h.idleSince == 0 && t.disruptionScore(h) < servingItemScore {
			n--
		}
	}
	return n
}

// plannedCompletion is when the wave should be complete: waveCompletionMargin before the operator's deadline.
func (t *Table) plannedCompletion(w *waveState) time.Duration {
	return w.announcedAt + time.Duration(w.DeadlineS*float64(time.Second)) - waveCompletionMargin
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

// disruptionScore rates the disruption that taking the host away causes: the CPU in use in millicores, and servingItemScore for each serving item.
func (t *Table) disruptionScore(h *host) int64 {
	tgt, ok := t.targets[h.Target]
	if !ok {
		return 0
	}
	n := tgt.used.CPU
	for _, it := range tgt.runs {
		if it.step.spec.Serving {
			n += servingItemScore
		}
	}
	return n
}

// servingItemScore is the part of a serving item in a disruption score. It exceeds a host's capacity in millicores, so that a serving item outweighs any CPU in use.
const servingItemScore = 100_000

// mustForceMaintenance reports whether the host's maintenance must begin although items still run there: the host has drained for maxDrainWait, or the wave would not be complete as planned.
func (t *Table) mustForceMaintenance(w *waveState, h *host, now time.Duration) bool {
	if now-h.order.stageSince > maxDrainWait {
		return true
	}
	timeLeft := t.plannedCompletion(w) - now
	rounds := (len(t.hostsAwaitingMaintenance(w)) + max(w.MaxConcurrent, 1) - 1) / max(w.MaxConcurrent, 1)
	return timeLeft < t.bounds.MaxStopTime+time.Duration(rounds)*(t.bounds.MaintenanceTime+time.Second)
}

// WaveUpdate is a change of a wave's status for operators: the wave is running, or completed.
type WaveUpdate struct {
	Wave      int64
	Completed bool
}

// WaveUpdates returns the changes of waves that have not been reported to operators; a completion is among them once the store holds it.
func (t *Table) WaveUpdates() []WaveUpdate {
	var updates []WaveUpdate
	for _, w := range t.waveList {
		// The numbers are those of waveState.reported: 1 running, 2 completed.
		progress := 1
		if w.recordedCompleted {
			progress = 2
		}
		if w.reported < progress {
			updates = append(updates, WaveUpdate{Wave: w.Number, Completed: progress == 2})
		}
	}
	return updates
}

// MarkWaveReported records that a change has been reported to operators.
func (t *Table) MarkWaveReported(u WaveUpdate) {
	if w, ok := t.waves[u.Wave]; ok {
		switch {
		case !u.Completed:
			w.reported = max(w.reported, 1)
		case w.recordedCompleted:
			w.reported = 2
		default:
			// The wave has been reopened meanwhile, and operators are to be told that it runs.
			w.reported = 0
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

// waitReason returns the reason for which a host's maintenance has not begun.
func (t *Table) waitReason(h *host, now time.Duration) string {
	switch {
	case h.State != work.HostUp:
		return "host is " + string(h.State)
	case !t.mayOrder(h, now):
		return "retry pause or handover delay has not passed"
	case h.order != nil && h.order.Wave == 0:
		return orderName(h.order.HostOrder)
	case t.stepBlockingDrain(h, now) != nil:
		s := t.stepBlockingDrain(h, now)
		return fmt.Sprintf("disruption budget of %s: %d of %d unavailable, %d waiting", s.name(), t.countUnavailable(s), s.spec.MaxUnavailable, s.waiting)
	case h.order != nil:
		return "host's order for the wave is in progress"
	default:
		return "wave's cap or its limit of busy hosts is reached"
	}
}
