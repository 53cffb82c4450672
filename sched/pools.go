package sched

import (
	"fmt"
	"math"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Policy of the pools' sizes. Bursts of five times the mean last some seconds and turn from pool to pool, a host moves in under two seconds, and an idle host costs as much in about two seconds as two moves.
const (
	// headroom is the share by which a pool's hosts exceed what runs and waits.
	headroom = 1.15
	// decayPerSecond is the share of a past demand that still counts a second later.
	decayPerSecond = 0.5
	// surplusFor is how long a pool has more hosts than it wants before it gives them up; an idle host costs as much as a move in little over a second.
	surplusFor = 500 * time.Millisecond
	// trendLead is how far ahead arriving work is extrapolated while it rises: the time that a host takes to come, and the lag of the average.
	trendLead = 2.0
	// trendMost bounds the extrapolation, as a multiple of what arrives.
	trendMost = 2.0
	// arrivalWindow is the time over which arriving work is averaged: long enough to see more than one job, and a fraction of the time that a host takes to come.
	arrivalWindow = time.Second
	// lateWeight is the part of late work that hosts are asked for: it has to be finished, and earns little.
	lateWeight = 0.3
	// leastHosts keeps a pool able to start what comes while more hosts are on their way.
	leastHosts = 4
)

// poolRow is a pool's demand and its hosts.
type poolRow struct {
	name    string
	standby bool
	// demand is the remembered demand in thousandths of a core.
	demand float64
	at     time.Duration
	// arriving is the work that comes, in thousandths of a core that it would keep busy.
	arriving   float64
	arrivingAt time.Duration
	// arrivingBefore is the same with a lag, by which a rise is seen.
	arrivingBefore float64
	// surplusSince is when the pool began to have more hosts than it wants, 0 while it has not.
	surplusSince time.Duration
	hosts        []*host
	coming       int
	least        int
	// target is the number of hosts that the pool should have.
	target int
	// cores and memMB are the room of the pool's largest host.
	cores int64
	memMB int64
	// stuck is the amount of serving items that wait for want of room, and stuckCount their number.
	stuck      int64
	stuckCount int
	// kinds are the labels that steps with work left ask for.
	kinds []kindNeed
	// loads holds what teams have at work, room the processors of usable targets and weights the sum of the weights of teams with work.
	loads   []teamLoad
	room    int64
	weights float64
	// waiting, running and serving are the pool's items by what they ask, in thousandths of a core; late is the part of waiting that cannot be in time any more.
	waiting int64
	late    int64
	running int64
	serving int64
}

// planPools moves hosts to where they are short and idle ones into a standby pool.
func (t *Table) planPools(now time.Duration) {
	rows := t.measurePools(now)
	var standby *poolRow
	for _, p := range rows {
		if p.standby {
			standby = p
		}
	}
	t.explainPools(rows, now)
	t.reclaim()
	givers := t.moveKinds(rows, t.spareHosts(rows, now), now)
	for {
		p := shortest(rows)
		if p == nil {
			break
		}
		var h *host
		h, givers = t.takeSpare(givers, p.name)
		if h == nil {
			break
		}
		t.move(h, p.name, now)
		p.coming++
	}
	if standby == nil {
		return
	}
	for _, h := range givers {
		if p := t.pools[h.Pool]; p != nil && p != standby && p.surplusSince > 0 && now-p.surplusSince >= surplusFor {
			t.move(h, standby.name, now)
		}
	}
}

// reclaim takes back hosts that were to leave a pool which has become short, as long as their orders have not been issued.
func (t *Table) reclaim() {
	for _, h := range t.hostOrder {
		o := h.order
		if o == nil || o.Wave > 0 || o.stage != stageDraining || o.repeated {
			continue
		}
		to, from := t.pools[o.Pool], t.pools[h.Pool]
		if to == nil || from == nil || !to.standby || from.standby || len(from.hosts)+from.coming >= from.wanted() {
			continue
		}
		h.order = nil
		t.leave(h, false)
		from.hosts = append(from.hosts, h)
		to.coming--
	}
}

// arrive adds a job's work to what comes, by the run times that its queue has shown.
func (p *poolRow) arrive(j *work.Job, past *pastRuns, now time.Duration) {
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Serving {
			continue
		}
		p.arriving = p.arrivingNow(now) + float64(int64(s.Count)*p.size(s.Reservation()))*past.expectMs(s.EstimateMs)/float64(arrivalWindow.Milliseconds())
		p.arrivingAt = now
	}
}

// arrivingNow is the work that comes, faded to the given time.
func (p *poolRow) arrivingNow(now time.Duration) float64 {
	return p.arriving * math.Exp(-(now-p.arrivingAt).Seconds()/arrivalWindow.Seconds())
}

// expected is the work that will come when hosts that are ordered now have come; it is to be called at each measurement.
func (p *poolRow) expected(now time.Duration) float64 {
	arriving := p.arrivingNow(now)
	lag := math.Exp(-(now - p.at).Seconds() / arrivalWindow.Seconds())
	p.arrivingBefore = arriving + (p.arrivingBefore-arriving)*lag
	rise := max(arriving-p.arrivingBefore, 0) / arrivalWindow.Seconds()
	return min(arriving+trendLead*rise, trendMost*arriving)
}

// wanted is the number of hosts that the pool should have.
func (p *poolRow) wanted() int { return p.target }

// measurePools adds up what runs and waits in each pool and apportions the hosts.
func (t *Table) measurePools(now time.Duration) []*poolRow {
	apart := map[string]int{}
	for _, p := range t.pools {
		p.waiting, p.running, p.serving, p.late = 0, 0, 0, 0
		p.stuck, p.stuckCount, p.kinds = 0, 0, p.kinds[:0]
	}
	for _, j := range t.active {
		for _, o := range j.occs {
			for _, s := range o.steps {
				t.addDemand(s, apart, now)
			}
		}
	}
	var rows []*poolRow
	for i := range t.config.Pools {
		c := &t.config.Pools[i]
		p := t.pool(c.Name)
		p.standby = c.Standby
		p.hosts, p.coming, p.cores, p.memMB = p.hosts[:0], 0, 0, 0
		p.least = max(leastHosts, apart[c.Name])
		faded := p.demand * math.Pow(decayPerSecond, (now-p.at).Seconds())
		expected := p.expected(now)
		p.demand, p.at = max(float64(p.waiting-p.late+p.running+p.serving), faded, expected+float64(p.serving)), now
		rows = append(rows, p)
	}
	for _, h := range t.hostOrder {
		if o := h.order; o != nil && o.Wave == 0 {
			if p, ok := t.pools[o.Pool]; ok {
				p.coming++
			}
			continue
		}
		if p, ok := t.pools[h.Pool]; ok && h.State == work.HostUp {
			if h.order == nil {
				p.hosts = append(p.hosts, h)
			}
			p.cores, p.memMB = max(p.cores, h.Capacity.CPU), max(p.memMB, h.Capacity.MemMB)
		}
	}
	for _, p := range rows {
		if p.cores == 0 && len(t.hostOrder) > 0 {
			p.cores, p.memMB = t.hostOrder[0].Capacity.CPU, t.hostOrder[0].Capacity.MemMB
		}
	}
	up := 0
	for _, h := range t.hostOrder {
		if h.State != work.HostDown {
			up++
		}
	}
	apportion(rows, up)
	for _, p := range rows {
		switch {
		case len(p.hosts) <= p.wanted():
			p.surplusSince = 0
		case p.surplusSince == 0:
			p.surplusSince = now
		}
	}
	return rows
}

// size is what an amount takes of a host, by what it takes most of, in thousandths of a core.
func (p *poolRow) size(a work.Resources) int64 {
	if p.memMB == 0 {
		return a.CPU
	}
	return max(a.CPU, a.MemMB*p.cores/p.memMB)
}

func (t *Table) pool(name string) *poolRow {
	p, ok := t.pools[name]
	if !ok {
		p = &poolRow{name: name}
		t.pools[name] = p
	}
	return p
}

func (t *Table) addDemand(s *step, apart map[string]int, now time.Duration) {
	j := s.job
	p := t.pool(j.queue.Pool)
	ordered := s.left - s.waiting
	waiting := 0
	if j.active() && s.waiting > 0 && s.ready() {
		waiting = s.waiting
	}
	cpu := p.size(s.spec.Reservation())
	if s.spec.Serving && s.noRoom && waiting > 0 && s.spec.RequiredLabel == "" && !s.advised() && s.spec.Reservation().Fits(work.Resources{CPU: p.cores, MemMB: p.memMB, GPUs: s.spec.Demand.GPUs}) {
		p.stuck += int64(waiting) * cpu
		p.stuckCount += waiting
	}
	if s.spec.RequiredLabel != "" && j.active() && s.left > 0 {
		p.needKind(s, waiting, cpu)
	}
	p.waiting += int64(waiting) * cpu
	if waiting > 0 && !s.spec.Serving && t.slack(s, now) < 0 {
		p.late += int64(waiting) * cpu
	}
	if s.spec.Serving {
		p.serving += int64(ordered) * cpu
	} else {
		p.running += int64(ordered) * cpu
	}
	if ordered+waiting > 0 && s.spec.MaxPerTarget > 0 {
		apart[p.name] = max(apart[p.name], (s.spec.Count+s.spec.MaxPerTarget-1)/s.spec.MaxPerTarget)
	}
}

// poolsEvery is how often the pools' sizes are explained.
const poolsEvery = time.Second

// explainPools says what each pool has and wants.
func (t *Table) explainPools(rows []*poolRow, now time.Duration) {
	if now-t.poolsAt < poolsEvery {
		return
	}
	t.poolsAt = now
	for _, p := range rows {
		idle := 0
		for _, h := range p.hosts {
			if h.idleSince > 0 {
				idle++
			}
		}
		t.note("pool", p.name,
			fmt.Sprintf("waiting=%d late=%d running=%d serving=%d arriving=%d", p.waiting, p.late, p.running, p.serving, int64(p.arrivingNow(now))),
			fmt.Sprintf("hosts=%d coming=%d wanted=%d idle=%d", len(p.hosts), p.coming, p.wanted(), idle))
	}
}
