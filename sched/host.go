package sched

import (
	"strconv"
	"strings"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Keys of the records of hosts and waves.
const (
	hostPrefix = "host/"
	wavePrefix = "wave/"
)

// IsJobKey reports whether a record's key names a job.
func IsJobKey(key string) bool {
	return !strings.HasPrefix(key, hostPrefix) && !strings.HasPrefix(key, wavePrefix)
}

// HostOrder tells the cloud to move a host into a pool or to begin its upkeep for a wave.
type HostOrder struct {
	Host string
	Pool string
	// Wave is 0 for a move.
	Wave int64
}

// orderStage is how far an order for a host is.
type orderStage int

const (
	// stageDraining hosts get no new starts until what they run has ended.
	stageDraining orderStage = iota
	// stageRecording orders are being recorded or sent.
	stageRecording
	// stageAway hosts are away until the list shows them up again.
	stageAway
)

// pendingOrder is an order for a host that is under way.
type pendingOrder struct {
	HostOrder
	stage orderStage
	since time.Duration
	// repeated means that an earlier try may have been carried out.
	repeated bool
	// former is the target that the host had when the order was sent.
	former work.TargetID
}

// host is a host of the cloud's list.
type host struct {
	work.Host
	listedAt time.Duration
	order    *pendingOrder
	// last is the last order for the host that was recorded.
	last work.HostOrderRecord
	// idleSince is when the host was last found to run nothing, 0 while it runs something.
	idleSince time.Duration
	notBefore time.Duration
	// unsure means that an order without a known outcome may have been carried out, so that a later consent may mean that earlier one.
	unsure bool
}

// waveRow is a wave and how far it is.
type waveRow struct {
	work.Wave
	since     time.Duration
	begun     map[string]bool
	completed bool
	// told is what operators have been told: 0 nothing, 1 running, 2 completed.
	told        int
	dirty       bool
	explainedAt time.Duration
}

// AddWave takes an operator's wave that was announced at the given time.
func (t *Table) AddWave(w work.Wave, since time.Duration) {
	row, ok := t.waves[w.Number]
	if !ok {
		row = &waveRow{begun: map[string]bool{}}
		t.waves[w.Number] = row
		t.waveOrder = append(t.waveOrder, row)
	}
	row.Wave, row.since = w, since
}

func orderName(o HostOrder) string {
	if o.Wave > 0 {
		return "upkeep for wave " + strconv.FormatInt(o.Wave, 10)
	}
	return "move to " + o.Pool
}

// HostOrderAnswered applies the cloud's answer to an order; an unanswered one is repeated.
func (t *Table) HostOrderAnswered(o HostOrder, a work.HostOrderStatus, answered bool, now time.Duration) {
	h, ok := t.hosts[o.Host]
	if !ok || h.order == nil || h.order.HostOrder != o {
		return
	}
	p := h.order
	if !answered || a == work.HostOrderOverloaded {
		p.repeated = p.repeated || !answered
		h.unsure = h.unsure || !answered
		p.stage, p.since = stageDraining, now
		h.notBefore = now + hostRetry
		return
	}
	t.note("hostOrder", o.Host, orderName(o), [...]string{"done", "busy", "not of the wave", "fenced", "invalid", "later"}[a])
	if a != work.HostOrderDone {
		h.order = nil
		h.notBefore = now + hostRetry
		t.leave(h, false)
		if a == work.HostOrderInvalid && o.Wave == 0 {
			t.barred[o.Host+"/"+o.Pool] = true
		}
		return
	}
	if !h.unsure && h.Target == p.former {
		t.targetGone(p.former, now, orderName(o))
	}
	p.stage, p.since = stageAway, now
	if w := t.waves[o.Wave]; w != nil {
		w.begun[o.Host] = true
		w.dirty = true
	}
}

// HostOrderUnsent notes that an order was given up before it was sent.
func (t *Table) HostOrderUnsent(o HostOrder, now time.Duration) {
	if h, ok := t.hosts[o.Host]; ok && h.order != nil && h.order.HostOrder == o {
		h.order.stage, h.order.since = stageDraining, now
	}
}

// hostRetry is the pause before an order for a host is tried again.
const hostRetry = 300 * time.Millisecond

// leave makes a host's target take nothing new, or lets it again.
func (t *Table) leave(h *host, leaving bool) {
	if row, ok := t.targets[h.Target]; ok {
		row.leaving = leaving
	}
}

// takeTurn is how long after another holder's order a host may be ordered, or after the takeover at the latest: the promised time between holders and the time that an order may be on its way.
func (t *Table) takeTurn() time.Duration { return t.bounds.HostTakeoverDelay + time.Second }

// mayOrder reports whether this holder may order the host now.
func (t *Table) mayOrder(h *host, now time.Duration) bool {
	if now < h.notBefore {
		return false
	}
	if h.last.FencingToken == 0 || h.last.FencingToken == t.token || (h.last.Node == t.node && t.node != "") {
		return true
	}
	age := time.Duration(t.wallMs(now)-h.last.IssuedMs) * time.Millisecond
	return now-t.began > t.takeTurn() || age > t.takeTurn()
}

// issue records an order, after which it is sent.
func (t *Table) issue(h *host, now time.Duration) {
	h.order.stage, h.order.since = stageRecording, now
	h.order.former = h.Target
	h.last = work.HostOrderRecord{FencingToken: t.token, Node: t.node}
	t.hostOrders = append(t.hostOrders, h.order.HostOrder)
}

// quiet reports whether nothing that matters runs on the host; serving items matter only within their steps' budgets.
func (t *Table) quiet(h *host, forced bool, now time.Duration) bool {
	row, ok := t.targets[h.Target]
	if !ok {
		return true
	}
	for _, it := range row.runs {
		if it.step.spec.Serving {
			if !t.mayTake(it.step, row, now) {
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

// mayTake reports whether the step's budget allows all of its items on a target to be taken away.
func (t *Table) mayTake(s *step, row *target, now time.Duration) bool {
	if s.spec.MaxUnavailable == 0 {
		return true
	}
	if !t.inEffect(now) {
		return false
	}
	away := t.away(s)
	for _, it := range s.items {
		if it.target == row && it.atWork && !it.stopping && !row.silent && !row.leavingNow {
			away++
		}
	}
	return away <= s.spec.MaxUnavailable
}

// planHosts begins what waves and pools ask of hosts.
func (t *Table) planHosts(now time.Duration) {
	if !t.hostsRead {
		return
	}
	t.markIdle(now)
	t.markDue()
	for _, w := range t.waveOrder {
		t.planWave(w, now)
	}
	t.planPools(now)
	t.settleOrders(now)
	t.evacuate(now)
}

func (t *Table) markIdle(now time.Duration) {
	for _, h := range t.hostOrder {
		row, ok := t.targets[h.Target]
		switch {
		case ok && len(row.runs) > 0:
			h.idleSince = 0
		case h.idleSince == 0:
			h.idleSince = now
		}
	}
}

// settleOrders issues the orders whose hosts have become quiet.
func (t *Table) settleOrders(now time.Duration) {
	t.markLeaving()
	for _, h := range t.hostOrder {
		o := h.order
		if o == nil || o.stage != stageDraining || h.State != work.HostUp || !t.mayOrder(h, now) {
			continue
		}
		if o.Wave > 0 && !o.repeated && t.downFor(t.waves[o.Wave]) >= max(t.waves[o.Wave].MaxConcurrent, 1) {
			continue
		}
		if t.quiet(h, o.Wave > 0 && t.urgent(t.waves[o.Wave], h, now), now) {
			if !t.hostBucket.take(now) {
				return
			}
			t.issue(h, now)
			t.markLeaving()
		}
	}
}

// markLeaving notes which targets go with orders that have been given, before any budget is counted.
func (t *Table) markLeaving() {
	for _, row := range t.order {
		row.leavingNow = false
	}
	for _, h := range t.hostOrder {
		if row, ok := t.targets[h.Target]; ok && h.order != nil && (h.order.stage != stageDraining || h.order.repeated) {
			row.leavingNow = true
		}
	}
}

// downFor counts the hosts that are or may be away for the wave's upkeep.
func (t *Table) downFor(w *waveRow) int {
	n := 0
	for _, name := range w.Hosts {
		h, ok := t.hosts[name]
		if !ok {
			continue
		}
		ordered := h.order != nil && h.order.Wave == w.Number && (h.order.stage != stageDraining || h.order.repeated)
		if ordered || h.State == work.HostMaintenance {
			n++
		}
	}
	return n
}
