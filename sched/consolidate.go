package sched

import (
	"fmt"
	"time"

	"lavenderwing.example/lavenderwing/pack"
	"lavenderwing.example/lavenderwing/work"
)

// Consolidation of serving items: a host that holds few of them is emptied when its pool does not need it, because a host with serving items is never spare. See package pack for what a move costs.
const (
	// consolidationDelay is how long a pool must have had more hosts than it needs. A pool's demand that has been low for two seconds, after it decayed, usually stays low for several times the two seconds that moving a host takes, because turns of demand last longer.
	consolidationDelay = 2 * time.Second
	// consolidationTimeout is how long a host may wait for its serving items to leave before it is used again: an item takes about a second, and a host that drains does without new work.
	consolidationTimeout = 5 * time.Second
	// consolidationPause is the time after a cancelled attempt in which the pool begins no other one, so that the causes do not cordon one host after another.
	consolidationPause = 5 * time.Second
	// maxWriteDelay is how long a batch may be under way to the store before no item is moved: a stop needs no record, but the next start does, and a write usually takes some hundredths of a second.
	maxWriteDelay = 500 * time.Millisecond
)

// consolidate begins to empty a host in each pool that has had more hosts with serving items than it needs hosts.
func (t *Table) consolidate(pools []*poolState, standby *poolState, now time.Duration) {
	if t.isStoreSlow(now) {
		return
	}
	consolidating, maintained := t.poolsInChange()
	for _, p := range pools {
		if p.standby || p.rising || p.surplusSince == 0 || now-p.surplusSince < consolidationDelay || now < p.consolidateAfter || consolidating[p.name] || maintained[p.name] || p.peaks.ExpectedWithin(now, expectedPeakTime) {
			continue
		}
		n, ok := pack.Choose(t.packPool(p, now))
		if !ok {
			continue
		}
		h := p.hosts[n]
		t.beginMove(h, standby.name, now)
		if h.order == nil {
			continue
		}
		h.order.consolidating = true
		t.logEvent("consolidating", h.Name, p.name, fmt.Sprintf("serving items=%d hosts=%d wanted=%d", t.servingItems(h), len(p.hosts), p.wanted()))
		p.hosts = append(p.hosts[:n:n], p.hosts[n+1:]...)
	}
}

// isStoreSlow reports whether the store has not confirmed a batch for maxWriteDelay.
func (t *Table) isStoreSlow(now time.Duration) bool {
	return t.unwrittenSince > 0 && now-t.unwrittenSince >= maxWriteDelay
}

// poolsInChange returns as consolidating the pools in which a host has serving items that are to leave it, and as maintained those of which a wave has hosts in maintenance or has yet to maintain some, so that serving items are moved anyway.
func (t *Table) poolsInChange() (consolidating, maintained map[string]bool) {
	consolidating, maintained = map[string]bool{}, map[string]bool{}
	for _, h := range t.sortedHosts {
		if h.order != nil && h.order.consolidating && t.servingItems(h) > 0 {
			consolidating[h.Pool] = true
		}
		if tgt, ok := t.targets[h.Target]; (ok && tgt.maintenanceDue) || h.State == work.HostMaintenance || (h.order != nil && h.order.Wave > 0) {
			maintained[h.Pool] = true
		}
	}
	return consolidating, maintained
}

// cancelConsolidations cancels the consolidations of pools that a wave maintains and those that take too long; cancelSurplusMoves cancels those of pools that have become short. A host that has no serving items left is an ordinary surplus host.
func (t *Table) cancelConsolidations(now time.Duration) {
	_, maintained := t.poolsInChange()
	for _, h := range t.sortedHosts {
		o := h.order
		if o == nil || !o.consolidating || o.stage != stageDraining || o.maybeExecuted || t.servingItems(h) == 0 {
			continue
		}
		from, to := t.pools[h.Pool], t.pools[o.Pool]
		if from != nil && to != nil && now-o.stageSince < consolidationTimeout && !maintained[from.name] {
			continue
		}
		t.cancelSurplusMove(h, from, to)
		if from != nil {
			from.consolidateAfter = now + consolidationPause
		}
	}
}

// isEmpty reports whether nothing may be running on the host's target.
func (t *Table) isEmpty(h *host) bool {
	tgt, ok := t.targets[h.Target]
	return !ok || (len(tgt.runs) == 0 && len(tgt.unexpected) == 0)
}

// packPool describes the pool's hosts and serving items for pack.Choose.
func (t *Table) packPool(p *poolState, now time.Duration) *pack.Pool {
	view := &pack.Pool{Wanted: p.wanted(), Hosts: make([]pack.Host, len(p.hosts))}
	indexes := map[*step]int{}
	for n, h := range p.hosts {
		tgt, ok := t.targets[h.Target]
		if !ok {
			continue
		}
		usable := tgt.usable(now) && t.knowsCapacity(tgt, now) && !tgt.maintenanceDue
		v := pack.Host{Free: tgt.free(), Receives: usable, Releasable: usable && t.mayOrder(h, now) && t.mayBeSpare(h, p) && !p.lastWithNeededLabel(h)}
		for _, it := range tgt.runs {
			s := it.step
			if !s.spec.Serving {
				v.OtherCPU += s.spec.Reservation().CPU
				continue
			}
			i, known := indexes[s]
			if !known {
				i = len(view.Steps)
				indexes[s] = i
				view.Steps = append(view.Steps, t.packStep(s))
			}
			v.Items = append(v.Items, pack.Item{Step: i, Size: s.spec.Reservation()})
		}
		view.Hosts[n] = v
	}
	return view
}

// packStep describes a serving step for pack.Choose. Items that need a label, a ticket, a rack, a trial or all others of their gang stay where they are.
func (t *Table) packStep(s *step) pack.Step {
	spec := s.spec
	fixed := spec.Gang || spec.RequiredLabel != "" || spec.DataRack != "" || spec.RackSensitive || s.needsAdvice() || s.job.suspects > 0
	return pack.Step{MaxPerHost: spec.MaxPerTarget, Unavailable: t.countUnavailable(s), Fixed: fixed}
}
