package sched

import (
	"math"
	"sort"
	"time"
)

// mostUnderprovisioned returns the pool that lacks the largest fraction of the hosts that it should have, or nil if none is short. Hosts on their way to a pool count as present.
func mostUnderprovisioned(pools []*poolState) *poolState {
	var worst *poolState
	maxShortfall := 0.0
	for _, p := range pools {
		if p.standby {
			continue
		}
		if shortfall := 1 - float64(len(p.hosts)+p.incoming)/float64(max(p.wanted(), 1)); shortfall > maxShortfall {
			worst, maxShortfall = p, shortfall
		}
	}
	return worst
}

// hostsFor is the number of hosts that a demand needs beyond the pool's minimum.
func (p *poolState) hostsFor(demand float64) int {
	if p.hostCPU == 0 {
		return 0
	}
	return max(int(math.Ceil(demand*headroomFactor/float64(p.hostCPU)))-p.minimum, 0)
}

// apportion divides the hosts among the pools: first each pool's minimum, then the hosts for jobs that can still meet their objective, then the hosts for late jobs, and from the rest the hosts for predicted peaks. If there are too few for one of the last three, pools get them in proportion to their needs.
func apportion(pools []*poolState, hosts int) {
	for _, p := range pools {
		p.wantedHosts = 0
		if !p.standby {
			p.wantedHosts = p.minimumNow()
			hosts -= p.wantedHosts
		}
	}
	hosts = distribute(pools, hosts, func(p *poolState) int { return p.hostsFor(p.demand) })
	hosts = distribute(pools, hosts, func(p *poolState) int {
		return p.hostsFor(p.demand+lateDemandWeight*float64(p.late)) - p.hostsFor(p.demand)
	})
	distribute(pools, hosts, func(p *poolState) int {
		return max(p.hostsFor(p.aheadCPU+float64(p.serving))-p.hostsFor(p.demand+lateDemandWeight*float64(p.late)), 0)
	})
}

// minimumNow is the pool's minimum, raised if serving items fit no host: free capacity may be fragmented although its sum is enough. The pool then gets the hosts that the items would fill and one more, but at most one host per item.
func (p *poolState) minimumNow() int {
	if p.unplacedCount == 0 || p.hostCPU == 0 {
		return p.minimum
	}
	extra := min(int((p.unplacedCPU+p.hostCPU-1)/p.hostCPU)+1, p.unplacedCount)
	return max(p.minimum, len(p.hosts)+extra)
}

// distribute gives pools the hosts that they need and returns the number that is left. If there are too few, pools get them in proportion to their needs, rounded down, and the result is 0 although rounding may leave some over.
func distribute(pools []*poolState, hosts int, hostsNeeded func(*poolState) int) int {
	total := 0
	for _, p := range pools {
		if !p.standby {
			total += hostsNeeded(p)
		}
	}
	if total == 0 {
		return hosts
	}
	for _, p := range pools {
		if p.standby {
			continue
		}
		if total <= hosts {
			p.wantedHosts += hostsNeeded(p)
		} else {
			p.wantedHosts += max(hosts, 0) * hostsNeeded(p) / total
		}
	}
	return max(hosts-total, 0)
}

// spareHosts returns the hosts that their pools do not need, those with the least disruption first; hosts with serving items stay.
func (t *Table) spareHosts(pools []*poolState, now time.Duration) []*host {
	var spare []*host
	for _, p := range pools {
		excess := len(p.hosts) - p.wanted()
		if p.standby {
			excess = len(p.hosts)
		}
		if excess <= 0 {
			continue
		}
		var movable []*host
		for _, h := range p.hosts {
			if h.order == nil && t.mayOrder(h, now) && t.mayBeSpare(h, p) && t.disruptionScore(h) < servingItemScore && (p.standby || !p.lastWithNeededLabel(h)) {
				movable = append(movable, h)
			}
		}
		sort.SliceStable(movable, func(a, b int) bool { return t.disruptionScore(movable[a]) < t.disruptionScore(movable[b]) })
		spare = append(spare, movable[:min(excess, len(movable))]...)
	}
	sort.SliceStable(spare, func(a, b int) bool { return t.disruptionScore(spare[a]) < t.disruptionScore(spare[b]) })
	return spare
}

// mayBeSpare reports whether the host may be taken for a spare one: any host of the standby pool, and in other pools a host whose target is listed and does not drain. A host that has just moved into a pool has no listed target yet and looks idle.
func (t *Table) mayBeSpare(h *host, p *poolState) bool {
	tgt, ok := t.targets[h.Target]
	return p.standby || (ok && tgt.listed && !tgt.Draining)
}

// takeSpare takes the first spare host that may be moved to the pool, and returns the rest.
func (t *Table) takeSpare(spare []*host, pool string) (*host, []*host) {
	for i, h := range spare {
		if h.Pool != pool && !t.rejectedMoves[h.Name+"/"+pool] {
			return h, append(spare[:i:i], spare[i+1:]...)
		}
	}
	return nil, spare
}

// beginMove begins to drain a host for its move to a pool.
func (t *Table) beginMove(h *host, pool string, now time.Duration) {
	if t.rejectedMoves[h.Name+"/"+pool] {
		return
	}
	h.order = &pendingOrder{HostOrder: HostOrder{Host: h.Name, Pool: pool}, stage: stageDraining, stageSince: now}
	t.setCordoned(h, true)
}
