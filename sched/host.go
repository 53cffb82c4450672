package sched

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Keys and key prefixes of the records of hosts, waves, clocks and statistics.
const (
	hostPrefix = "host/"
	wavePrefix = "wave/"
	// clockKey is the key of the holder's work.HolderClockRecord.
	clockKey = "clock"
	// statsKey is the key of the holder's work.RunStatsRecord.
	statsKey = "stats"
	// learnedPrefix is the prefix of the records of learned run times, and learnedKey the key of those that this version writes. An earlier version takes the key for that of a job and logs that it cannot decode the progress.
	learnedPrefix = "stats/"
	learnedKey    = learnedPrefix + "2"
)

// IsJobKey reports whether a record's key is that of a job.
func IsJobKey(key string) bool {
	if key == clockKey || key == statsKey {
		return false
	}
	for _, prefix := range []string{learnedPrefix, hostPrefix, wavePrefix, sectionPrefix} {
		if strings.HasPrefix(key, prefix) {
			return false
		}
	}
	return true
}

// HostOrder tells the cloud to move a host into a pool or to begin its maintenance for a wave.
type HostOrder struct {
	Host string
	Pool string
	// Wave is 0 for a move.
	Wave int64
}

// orderStage is the stage of a pending host order.
type orderStage int

const (
	// stageDraining orders wait until their host may be taken away, or, after an attempt without a result, until they may be sent again. The host gets no new starts meanwhile.
	stageDraining orderStage = iota
	// stageRecording orders have been issued: their records are being written, or they are being sent.
	stageRecording
	// stageAway orders have been accepted by the cloud; they are complete when the host list shows the host up again.
	stageAway
)

// pendingOrder is a host order that is not complete.
type pendingOrder struct {
	HostOrder
	stage      orderStage
	stageSince time.Duration
	// maybeExecuted means that an earlier attempt of this order got no answer and may have been executed.
	maybeExecuted bool
	// oldTarget is the host's target when the order was first issued.
	oldTarget work.TargetID
	// consolidating means that the host is drained to bring its serving items to other hosts, as long as it has any.
	consolidating bool
	// emptyingSince is when the host's batch items were first stopped for the order.
	emptyingSince time.Duration
}

// host is a host in the cloud's list, with its pending order.
type host struct {
	work.Host
	listedAt time.Duration
	// missingSince is when the first host list that lacks the host was requested, 0 while the lists show it.
	missingSince time.Duration
	order        *pendingOrder
	// lastIssued is the host's last order by any holder. An order of this holder is set here when it is issued, before its record is written.
	lastIssued work.HostOrderRecord
	// idleSince is when the host became idle, 0 while it runs something.
	idleSince time.Duration
	// notBefore is the earliest time of the host's next order.
	notBefore time.Duration
}

// waveState is a maintenance wave and its progress.
type waveState struct {
	work.Wave
	// announced means that the operator's wave has been read. A holder may know the wave's progress earlier, but not its hosts.
	announced   bool
	announcedAt time.Duration
	// begun holds the names of the hosts whose maintenance the cloud has accepted. Once the wave is complete it also holds those that are gone, and an empty name, so that its record is never empty.
	begun map[string]bool
	// hostsUnknown means that an earlier version recorded the completion, without the hosts.
	hostsUnknown bool
	// missingSince is when the first host list that lacks a host of the wave was requested.
	missingSince map[string]time.Duration
	completed    bool
	// recordedCompleted means that the store holds the completion.
	recordedCompleted bool
	// reported is what operators have been told: 0 nothing, 1 running, 2 completed.
	reported int
	dirty    bool
	// recordAfter is when a wave is recorded again whose record the store has refused.
	recordAfter time.Duration
	loggedAt    time.Duration
}

// ensureWave returns the wave with the number, and adds it without hosts if it is unknown.
func (t *Table) ensureWave(number int64) *waveState {
	if w, ok := t.waves[number]; ok {
		return w
	}
	w := &waveState{Wave: work.Wave{Number: number}, begun: map[string]bool{}, missingSince: map[string]time.Duration{}}
	t.waves[number] = w
	t.waveList = append(t.waveList, w)
	return w
}

// AddWave adds an operator's wave that was announced at the given time, or updates the wave with the same number; an earlier record of it is ignored. A complete wave that is announced with more hosts goes on with these.
func (t *Table) AddWave(w work.Wave, announcedAt time.Duration) {
	wave := t.ensureWave(w.Number)
	if wave.announced && w.Offset < wave.Offset {
		return
	}
	wave.Wave, wave.announced, wave.announcedAt = w, true, announcedAt
	wave.reopen()
}

// reopen has a complete wave go on if its present announcement names hosts that it was completed without.
func (w *waveState) reopen() {
	if !w.announced || !w.completed {
		return
	}
	if w.hostsUnknown {
		// An earlier version did not record the hosts, and the wave was not written again since, as far as can be told.
		w.hostsUnknown = false
		w.settleHosts()
	}
	if slices.ContainsFunc(w.Hosts, func(name string) bool { return !w.begun[name] }) {
		w.completed, w.recordedCompleted, w.reported, w.dirty = false, false, 0, true
	}
}

// settleHosts notes that none of the present hosts awaits its maintenance any more.
func (w *waveState) settleHosts() {
	w.begun[""] = true
	for _, name := range w.Hosts {
		w.begun[name] = true
	}
}

// orderName describes a host order in events.
func orderName(o HostOrder) string {
	if o.Wave > 0 {
		return "upkeep for wave " + strconv.FormatInt(o.Wave, 10)
	}
	return "move to " + o.Pool
}

// HostOrderAnswered applies the cloud's answer to an order; an order that got no answer or found the cloud overloaded is repeated.
func (t *Table) HostOrderAnswered(o HostOrder, status work.HostOrderStatus, answered bool, now time.Duration) {
	h, ok := t.hosts[o.Host]
	if !ok || h.order == nil || h.order.HostOrder != o {
		return
	}
	p := h.order
	if !answered || status == work.HostOrderOverloaded {
		p.maybeExecuted = p.maybeExecuted || !answered
		p.stage, p.stageSince = stageDraining, now
		h.notBefore = now + hostRetryDelay
		return
	}
	t.logEvent("hostOrder", o.Host, orderName(o), [...]string{"done", "busy", "not in the wave", "fenced", "invalid", "later"}[status])
	if status != work.HostOrderDone {
		h.order = nil
		h.notBefore = now + hostRetryDelay
		t.setCordoned(h, false)
		if status == work.HostOrderInvalid && o.Wave == 0 {
			t.rejectedMoves[o.Host+"/"+o.Pool] = true
		}
		return
	}
	// An order that was carried out before is confirmed too, so that only the host list and the target show what has ended.
	p.stage, p.stageSince = stageAway, now
	if w := t.waves[o.Wave]; w != nil {
		w.begun[o.Host] = true
		w.dirty = true
	}
}

// HostOrderNotSent records that an issued order was not sent, and lets it be issued again.
func (t *Table) HostOrderNotSent(o HostOrder, now time.Duration) {
	if h, ok := t.hosts[o.Host]; ok && h.order != nil && h.order.HostOrder == o {
		h.order.stage, h.order.stageSince = stageDraining, now
	}
}

// hostRetryDelay is the pause before a host gets another order after a failed one.
const hostRetryDelay = 300 * time.Millisecond

// setCordoned sets whether the host's target is kept from new starts.
func (t *Table) setCordoned(h *host, cordoned bool) {
	if tgt, ok := t.targets[h.Target]; ok {
		tgt.cordoned = cordoned
	}
}

// issueOrder adds the host's order to the next batch; the order is sent once its record is written.
func (t *Table) issueOrder(h *host, now time.Duration) {
	h.order.stage, h.order.stageSince = stageRecording, now
	if !h.order.maybeExecuted {
		h.order.oldTarget = h.Target
	}
	h.lastIssued = work.HostOrderRecord{FencingToken: t.token, Node: t.node}
	t.issuedHostOrders = append(t.issuedHostOrders, h.order.HostOrder)
}

// maxStopWait is how much longer than promised a target may take to stop its items before its host is taken away with what may still run there.
const maxStopWait = 2 * time.Second

// confirmedSilence is how long a target must not have answered after its host's order was confirmed to count as ended without a host list.
const confirmedSilence = time.Second

// stopBatchRuns stops the host's items that are not serving, and reports whether its target has shown the end of all of them. An end that the holder has not read would be lost with the target, and the work would run again.
func (t *Table) stopBatchRuns(h *host, now time.Duration) bool {
	tgt, ok := t.targets[h.Target]
	o := h.order
	if o.emptyingSince == 0 {
		o.emptyingSince = now
	}
	if !ok || now-o.emptyingSince >= t.bounds.MaxStopTime+maxStopWait {
		return true
	}
	tgt.cordoned = true
	ended := true
	for _, it := range tgt.runs {
		if !it.step.spec.Serving {
			t.orderStop(it, now)
			ended = false
		}
	}
	return ended
}

// mayTakeAway reports whether the disruption budgets allow all of the host's serving items to be evicted, and whether it runs no other items. If forced, it ignores the other items.
func (t *Table) mayTakeAway(h *host, forced bool, now time.Duration) bool {
	tgt, ok := t.targets[h.Target]
	if !ok {
		return true
	}
	for _, it := range tgt.runs {
		if it.step.spec.Serving {
			if !t.mayEvictAll(it.step, tgt, now) {
				return false
			}
			continue
		}
		if !forced {
			return false
		}
	}
	return true
}

// mayEvictAll reports whether the step's disruption budget allows all of its items on a target to be evicted.
func (t *Table) mayEvictAll(s *step, tgt *target, now time.Duration) bool {
	if s.spec.MaxUnavailable == 0 {
		return true
	}
	if !t.predecessorOrdersSettled(now) {
		return false
	}
	unavailable := t.countUnavailable(s)
	for it := range s.known() {
		if it.target == tgt && it.atFullSpeed && !it.stopping && !tgt.unreachable && !tgt.hostOrderIssued {
			unavailable++
		}
	}
	return unavailable <= s.spec.MaxUnavailable
}

// planHosts plans the host orders of waves and pools, issues those whose hosts may be taken away, and evicts serving items from draining hosts.
func (t *Table) planHosts(now time.Duration) {
	if !t.hostsListed {
		return
	}
	t.markIdle(now)
	t.markMaintenanceDue()
	for _, w := range t.waveList {
		t.planWave(w, now)
	}
	t.endSilentTargets(now)
	t.planPools(now)
	t.issueReadyOrders(now)
	t.evacuate(now)
}

// endSilentTargets treats targets as gone whose hosts' orders have been confirmed at the first attempt and that have been silent since, because the host list may not be available.
func (t *Table) endSilentTargets(now time.Duration) {
	for _, h := range t.sortedHosts {
		o := h.order
		if o == nil || o.stage != stageAway || o.maybeExecuted || now-o.stageSince < confirmedSilence || t.answersSince(o.oldTarget, o.stageSince) {
			continue
		}
		if tgt, ok := t.targets[o.oldTarget]; ok && tgt.unreachable && now-tgt.unreachableSince >= confirmedSilence {
			t.handleGoneTarget(o.oldTarget, now, orderName(o.HostOrder), false)
		}
	}
}

func (t *Table) markIdle(now time.Duration) {
	for _, h := range t.sortedHosts {
		tgt, ok := t.targets[h.Target]
		switch {
		case ok && len(tgt.runs) > 0:
			h.idleSince = 0
		case h.idleSince == 0:
			h.idleSince = now
		}
	}
}

// issueReadyOrders issues the waiting orders whose hosts may be taken away now.
func (t *Table) issueReadyOrders(now time.Duration) {
	t.markHostOrders(now)
	for _, h := range t.sortedHosts {
		o := h.order
		if o == nil || o.stage != stageDraining || h.State != work.HostUp || !t.mayOrder(h, now) {
			continue
		}
		if t.isHeldBack(h) {
			continue
		}
		if o.Wave > 0 && !o.maybeExecuted && t.hostsDown(t.waves[o.Wave], h, now) >= max(t.waves[o.Wave].MaxConcurrent, 1) {
			continue
		}
		forced := o.Wave > 0 && t.mustForceMaintenance(t.waves[o.Wave], h, now)
		if o.consolidating && !t.isEmpty(h) {
			continue
		}
		if t.mayTakeAway(h, forced, now) && (!forced || t.stopBatchRuns(h, now)) {
			if !t.hostLimiter.take(now) {
				return
			}
			t.issueOrder(h, now)
			t.markHostOrders(now)
		}
	}
}

// markHostOrders marks the targets whose hosts have been ordered away, so that disruption budgets count their items as unavailable, and those whose hosts have drained for their maintenance for longer than maxDrainWait.
func (t *Table) markHostOrders(now time.Duration) {
	for _, tgt := range t.sortedTargets {
		tgt.hostOrderIssued, tgt.drainOverdue, tgt.consolidating = false, false, false
	}
	for _, h := range t.sortedHosts {
		tgt, ok := t.targets[h.Target]
		if !ok || h.order == nil {
			continue
		}
		o := h.order
		tgt.hostOrderIssued = o.stage != stageDraining || o.maybeExecuted
		tgt.consolidating = o.consolidating
		tgt.drainOverdue = o.Wave > 0 && o.stage == stageDraining && now-o.stageSince > maxDrainWait
	}
}

// hostsDown counts the wave's hosts, apart from the given one, that are in maintenance or may be away for it by an order of this or an earlier holder.
func (t *Table) hostsDown(w *waveState, except *host, now time.Duration) int {
	n := 0
	for _, name := range w.Hosts {
		h, ok := t.hosts[name]
		if !ok || h == except {
			continue
		}
		ordered := h.order != nil && h.order.Wave == w.Number && (h.order.stage != stageDraining || h.order.maybeExecuted)
		if ordered || t.hasInheritedOrder(w, h, now) || h.State == work.HostMaintenance {
			n++
		}
	}
	return n
}

// hasInheritedOrder reports whether an earlier holder's order for the host's maintenance may still reach the cloud.
func (t *Table) hasInheritedOrder(w *waveState, h *host, now time.Duration) bool {
	return h.lastIssued.Wave == w.Number && !w.begun[h.Name] && t.earlierOrderUnderWay(h, now)
}
