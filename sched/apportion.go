package sched

import (
	"math"
	"sort"
	"time"
)

// shortest returns the pool that lacks the largest part of what it wants, or nil if none is short.
func shortest(rows []*poolRow) *poolRow {
	var worst *poolRow
	most := 0.0
	for _, p := range rows {
		if p.standby {
			continue
		}
		if lack := 1 - float64(len(p.hosts)+p.coming)/float64(max(p.wanted(), 1)); lack > most {
			worst, most = p, lack
		}
	}
	return worst
}

// asks is the number of hosts that a demand asks for beyond the pool's least.
func (p *poolRow) asks(demand float64) int {
	if p.cores == 0 {
		return 0
	}
	return max(int(math.Ceil(demand*headroom/float64(p.cores)))-p.least, 0)
}

// apportion divides the hosts over the pools: first what each has at least, then by what can be in time, and only what is left by work that is late already. Where there is too little, pools get it in proportion to what they ask.
func apportion(rows []*poolRow, hosts int) {
	for _, p := range rows {
		p.target = 0
		if !p.standby {
			p.target = p.leastNow()
			hosts -= p.target
		}
	}
	hosts = deal(rows, hosts, func(p *poolRow) int { return p.asks(p.demand) })
	deal(rows, hosts, func(p *poolRow) int {
		return p.asks(p.demand+lateWeight*float64(p.late)) - p.asks(p.demand)
	})
}

// leastNow is the pool's least, and room for serving items that fit nowhere: hosts may be full in parts although they are not in sum.
func (p *poolRow) leastNow() int {
	if p.stuckCount == 0 || p.cores == 0 {
		return p.least
	}
	more := min(int((p.stuck+p.cores-1)/p.cores)+1, p.stuckCount)
	return max(p.least, len(p.hosts)+more)
}

// deal gives pools the hosts that they ask for, in proportion if there are too few, and returns what is left.
func deal(rows []*poolRow, hosts int, asks func(*poolRow) int) int {
	all := 0
	for _, p := range rows {
		if !p.standby {
			all += asks(p)
		}
	}
	if all == 0 {
		return hosts
	}
	for _, p := range rows {
		if p.standby {
			continue
		}
		if all <= hosts {
			p.target += asks(p)
		} else {
			p.target += max(hosts, 0) * asks(p) / all
		}
	}
	return max(hosts-all, 0)
}

// spareHosts returns the hosts that their pools do not need, those in standby first and then those that run least; hosts with serving items stay.
func (t *Table) spareHosts(rows []*poolRow, now time.Duration) []*host {
	var spare []*host
	for _, p := range rows {
		excess := len(p.hosts) - p.wanted()
		if p.standby {
			excess = len(p.hosts)
		}
		if excess <= 0 {
			continue
		}
		var found []*host
		for _, h := range p.hosts {
			if h.order == nil && t.mayOrder(h, now) && t.settled(h, p) && t.burden(h) < servingBurden && (p.standby || !p.lastOfKind(h)) {
				found = append(found, h)
			}
		}
		sort.SliceStable(found, func(a, b int) bool { return t.burden(found[a]) < t.burden(found[b]) })
		spare = append(spare, found[:min(excess, len(found))]...)
	}
	sort.SliceStable(spare, func(a, b int) bool { return t.burden(spare[a]) < t.burden(spare[b]) })
	return spare
}

// settled reports whether the host's target has been met, so that a host that has just come is not taken for an idle one.
func (t *Table) settled(h *host, p *poolRow) bool {
	row, ok := t.targets[h.Target]
	return p.standby || (ok && row.listed && !row.Draining)
}

func (t *Table) takeSpare(spare []*host, pool string) (*host, []*host) {
	for i, h := range spare {
		if h.Pool != pool && !t.barred[h.Name+"/"+pool] {
			return h, append(spare[:i:i], spare[i+1:]...)
		}
	}
	return nil, spare
}

func (t *Table) move(h *host, pool string, now time.Duration) {
	if t.barred[h.Name+"/"+pool] {
		return
	}
	h.order = &pendingOrder{HostOrder: HostOrder{Host: h.Name, Pool: pool}, stage: stageDraining, since: now}
	t.leave(h, true)
}
