package sched

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/peaks"
	"lavenderwing.example/lavenderwing/shed"
	"lavenderwing.example/lavenderwing/work"
)

// Sizing of pools. Bursts of five times the mean load last some seconds and hit one pool after another. Moving a host takes less than two seconds. In money, two moves cost about as much as keeping a host idle for two seconds, so an idle host is worth moving soon.
const (
	// headroomFactor is the ratio of the CPU capacity that a pool should have to its demand.
	headroomFactor = 1.15
	// demandRetainedPerSecond is the part of a measured demand that still counts a second later.
	demandRetainedPerSecond = 0.5
	// surplusDelay is how long a pool must have more hosts than it needs before they move to standby; a move pays off once it saves little over a second of an idle host.
	surplusDelay = 500 * time.Millisecond
	// trendLeadSeconds is how far ahead rising arrivals are extrapolated: the time that a host takes to move, and the lag of the average over arrivalWindow.
	trendLeadSeconds = 2.0
	// maxTrendFactor bounds the extrapolation to a multiple of the present arrivals.
	maxTrendFactor = 2.0
	// arrivalWindow is the time over which arriving work is averaged: long enough to see more than one job, and a fraction of the time that a host takes to move.
	arrivalWindow = time.Second
	// lateDemandWeight is the part of late work that counts as demand: it has to be completed, but its results are of little use to the callers.
	lateDemandWeight = 0.3
	// minHosts is the least number of hosts of a pool that is not the standby pool, enough to start arriving work while more hosts are on their way.
	minHosts = 4
)

// poolState is a pool's demand and its hosts.
type poolState struct {
	name    string
	standby bool
	// demand is the pool's demand in millicores; it rises at once and falls by the factor demandRetainedPerSecond each second.
	demand     float64
	measuredAt time.Duration
	// arrivalCPU is the average of the arriving work, in millicores that it would keep busy.
	arrivalCPU       float64
	arrivalUpdatedAt time.Duration
	// burst measures the arriving work over short windows.
	burst burstMeter
	// laggedArrivalCPU follows arrivalCPU with a lag, so that their difference shows a rise.
	laggedArrivalCPU float64
	// surplusSince is when the pool began to have more hosts than it needs, 0 if it has no more.
	surplusSince time.Duration
	// peaks remembers the peaks of the arriving work, and aheadCPU is the work in millicores of a peak that is predicted to begin before hosts ordered now have moved.
	peaks    peaks.Tracker
	aheadCPU float64
	// forecastCPU is the work in millicores for which the pool should have hosts by its arrivals and predicted peaks.
	forecastCPU float64
	// steady means that a peak has risen, and peakEnded that one has just ended: its demand is what is seen now.
	steady    bool
	peakEnded bool
	// unfinishedWork is the work in millicore-seconds of waiting and running items.
	unfinishedWork float64
	// rising means that the arriving work is expected to exceed its present average by a host or more.
	rising bool
	// consolidateAfter is the earliest time at which a host of the pool may be emptied of its serving items.
	consolidateAfter time.Duration
	hosts            []*host
	// incoming is the number of hosts on their way to the pool, and minimum the least number that it should have.
	incoming int
	minimum  int
	// wantedHosts is the number of hosts that the pool should have.
	wantedHosts int
	// hostCPU, in millicores, and hostMemMB are each the most that one of the pool's hosts has, or the capacity of the first host of all while the pool has none.
	hostCPU   int64
	hostMemMB int64
	// unplacedCPU is the demand in millicores of serving items that wait because no target has room, and unplacedCount their number.
	unplacedCPU   int64
	unplacedCount int
	// labelDemands holds the labels that unfinished steps require.
	labelDemands []labelDemand
	// teamLoads holds each team's running work, usableCPU the millicores of usable targets, and totalWeight the sum of the weights of teams with work.
	teamLoads   []teamLoad
	usableCPU   int64
	totalWeight float64
	// waiting, running and serving are the demands in millicores of the pool's waiting items, of its running items without serving ones, and of its running serving items. late is the part of waiting that belongs to jobs that will miss their objective.
	waiting int64
	late    int64
	running int64
	// waitingWork is the work of the waiting items in millicore-seconds, without serving ones.
	waitingWork float64
	serving     int64
	// backlog is the expected work of all batch items that wait, in millicore-seconds, and full means that some have found no room.
	backlog float64
	full    bool
	// demands holds the waiting work of the pool's occurrences, which demanding lists in the same order.
	demands   []shed.Demand
	demanding []*occurrence
	// returns hands out the times at which refused callers should return.
	returns shed.Returns
}

// planPools moves spare hosts to the pools that are short of hosts, and the hosts that no pool needs into the standby pool.
func (t *Table) planPools(now time.Duration) {
	t.cancelEvacuatedMoves()
	pools := t.measurePools(now)
	var standby *poolState
	for _, p := range pools {
		if p.standby {
			standby = p
		}
	}
	t.logPools(pools, now)
	t.cancelSurplusMoves()
	t.cancelConsolidations(now)
	spare := t.moveLabeledHosts(pools, t.spareHosts(pools, now), now)
	short := slices.Clone(pools)
	for len(spare) > 0 {
		p := mostUnderprovisioned(short)
		if p == nil {
			break
		}
		var h *host
		h, spare = t.takeSpare(spare, p.name)
		if h == nil {
			// The cloud has rejected the moves of all spare hosts to this pool.
			short = slices.DeleteFunc(short, func(other *poolState) bool { return other == p })
			continue
		}
		t.beginMove(h, p.name, now)
		p.incoming++
	}
	if standby == nil {
		return
	}
	t.releaseEvacuatedHosts(standby.name, now)
	for _, h := range spare {
		if p := t.pools[h.Pool]; p != nil && p != standby && p.surplusSince > 0 && (p.peakEnded || now-p.surplusSince >= surplusDelay) {
			t.beginMove(h, standby.name, now)
		}
	}
	t.consolidate(pools, standby, now)
}

// cancelSurplusMoves cancels moves to standby of hosts whose pool has become short, as long as their orders have not been issued.
func (t *Table) cancelSurplusMoves() {
	for _, h := range t.sortedHosts {
		o := h.order
		if o == nil || o.Wave > 0 || o.stage != stageDraining || o.maybeExecuted || t.isHostEvacuated(h) {
			continue
		}
		to, from := t.pools[o.Pool], t.pools[h.Pool]
		if to == nil || from == nil || !to.standby || from.standby || len(from.hosts)+from.incoming >= from.wanted() {
			continue
		}
		t.cancelSurplusMove(h, from, to)
	}
}

// cancelSurplusMove cancels a host's move to standby whose order has not been issued; the pools are nil if they are no longer known.
func (t *Table) cancelSurplusMove(h *host, from, to *poolState) {
	if h.order.consolidating {
		t.logEvent("consolidationCancelled", h.Name, h.Pool, fmt.Sprintf("serving items left: %d", t.servingItems(h)))
	}
	h.order = nil
	t.setCordoned(h, false)
	if from != nil {
		from.hosts = append(from.hosts, h)
	}
	if to != nil {
		to.incoming--
	}
}

// addArrival adds the work of a job that arrived at the given time, which may be some time ago, to the average of the arriving work. The run times are those expected after the queue's finished runs.
func (p *poolState) addArrival(j *work.Job, stats *runStats, at, now time.Duration) {
	p.addArrivalOf(j, func(step int) float64 { return stats.expectedMs(j.Steps[step].EstimateMs) }, at, now)
}

// addArrivalOf is addArrival with the expected run times of the job's steps in milliseconds.
func (p *poolState) addArrivalOf(j *work.Job, expectedMs func(step int) float64, at, now time.Duration) {
	total := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Serving {
			continue
		}
		total += float64(int64(s.Count)*p.cpuEquivalent(s.Reservation())) * expectedMs(i) / 1000
	}
	decay := math.Exp(-(now - at).Seconds() / arrivalWindow.Seconds())
	p.arrivalCPU = p.arrivalAt(now) + total*decay/arrivalWindow.Seconds()
	p.arrivalUpdatedAt = now
	p.burst.add(total, at, now)
}

// arrivalAt is the average of the arriving work at the given time.
func (p *poolState) arrivalAt(now time.Duration) float64 {
	return p.arrivalCPU * math.Exp(-(now-p.arrivalUpdatedAt).Seconds()/arrivalWindow.Seconds())
}

// updateForecast updates the lagged average and returns the arriving work, in millicores, to expect by the time that hosts ordered now have moved. It must be called once per measurement.
func (p *poolState) updateForecast(now time.Duration) float64 {
	arrival := p.arrivalAt(now)
	decay := math.Exp(-(now - p.measuredAt).Seconds() / arrivalWindow.Seconds())
	p.laggedArrivalCPU = arrival + (p.laggedArrivalCPU-arrival)*decay
	rise := max(arrival-p.laggedArrivalCPU, 0) / arrivalWindow.Seconds()
	return max(min(arrival+trendLeadSeconds*rise, maxTrendFactor*arrival), p.burst.rate(now))
}

// wanted is the number of hosts that the pool should have.
func (p *poolState) wanted() int { return p.wantedHosts }

// measurePools measures each pool's demand and hosts, and apportions the hosts. Those of evacuated zones do not count.
func (t *Table) measurePools(now time.Duration) []*poolState {
	minHostsByPool := map[string]int{}
	for _, p := range t.pools {
		p.waiting, p.running, p.serving, p.late, p.unfinishedWork, p.waitingWork = 0, 0, 0, 0, 0, 0
		p.unplacedCPU, p.unplacedCount, p.labelDemands = 0, 0, p.labelDemands[:0]
	}
	for _, j := range t.activeJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				t.addDemand(s, minHostsByPool, now)
			}
		}
	}
	var pools []*poolState
	for i := range t.config.Pools {
		c := &t.config.Pools[i]
		p := t.ensurePool(c.Name)
		p.standby = c.Standby
		p.minimum = max(minHosts, minHostsByPool[c.Name])
		decayed := p.demand * math.Pow(demandRetainedPerSecond, (now-p.measuredAt).Seconds())
		expectedCPU := t.sizeByPeaks(p, p.updateForecast(now), now)
		if p.steady || p.peakEnded {
			decayed = 0
		}
		p.forecastCPU = max(expectedCPU, p.aheadCPU)
		p.rising = (expectedCPU-p.arrivalAt(now))*headroomFactor > float64(p.hostCPU)
		present := float64(p.waiting - p.late + p.running)
		if p.steady {
			present = min(present, expectedCPU+t.backlogCPU(p, expectedCPU))
		}
		p.hosts, p.incoming, p.hostCPU, p.hostMemMB = p.hosts[:0], 0, 0, 0
		p.demand, p.measuredAt = max(present+float64(p.serving), decayed, expectedCPU+float64(p.serving)), now
		pools = append(pools, p)
	}
	for _, h := range t.sortedHosts {
		evacuated := t.isHostEvacuated(h)
		if o := h.order; o != nil && o.Wave == 0 {
			if p, ok := t.pools[o.Pool]; ok && !evacuated {
				p.incoming++
			}
			continue
		}
		if p, ok := t.pools[h.Pool]; ok && h.State == work.HostUp {
			if h.order == nil && !evacuated {
				p.hosts = append(p.hosts, h)
			}
			p.hostCPU, p.hostMemMB = max(p.hostCPU, h.Capacity.CPU), max(p.hostMemMB, h.Capacity.MemMB)
		}
	}
	for _, p := range pools {
		if p.hostCPU == 0 && len(t.sortedHosts) > 0 {
			p.hostCPU, p.hostMemMB = t.sortedHosts[0].Capacity.CPU, t.sortedHosts[0].Capacity.MemMB
		}
	}
	up := 0
	for _, h := range t.sortedHosts {
		if h.State != work.HostDown && !t.isHostEvacuated(h) {
			up++
		}
	}
	apportion(pools, up)
	for _, p := range pools {
		switch {
		case len(p.hosts) <= p.wanted():
			p.surplusSince = 0
		case p.surplusSince == 0:
			p.surplusSince = now
		}
	}
	return pools
}

// cpuEquivalent returns the CPU in millicores that an amount uses up on a host: its own CPU, or the CPU that goes with its memory if the memory is the larger part of the host.
func (p *poolState) cpuEquivalent(amount work.Resources) int64 {
	if p.hostMemMB == 0 {
		return amount.CPU
	}
	return max(amount.CPU, amount.MemMB*p.hostCPU/p.hostMemMB)
}

func (t *Table) ensurePool(name string) *poolState {
	p, ok := t.pools[name]
	if !ok {
		p = &poolState{name: name}
		t.pools[name] = p
	}
	return p
}

// addDemand adds a step to its pool's demand, and raises the pool's entry in minHostsByPool to the number of hosts that MaxPerTarget requires.
func (t *Table) addDemand(s *step, minHostsByPool map[string]int, now time.Duration) {
	j := s.job
	p := t.ensurePool(j.queue.Pool)
	ordered := s.unfinished - s.waiting
	waiting := 0
	if j.active() && s.waiting > 0 && s.dependenciesDone() {
		waiting = s.waiting
	}
	cpu := p.cpuEquivalent(s.spec.Reservation())
	if s.spec.Serving && s.noRoom && waiting > 0 && s.spec.RequiredLabel == "" && !s.needsAdvice() && s.spec.Reservation().Fits(work.Resources{CPU: p.hostCPU, MemMB: p.hostMemMB, GPUs: s.spec.Demand.GPUs}) {
		p.unplacedCPU += int64(waiting) * cpu
		p.unplacedCount += waiting
	}
	if s.stranded > 0 && s.spec.RequiredLabel == "" {
		p.unplacedCPU += int64(s.stranded) * cpu
		p.unplacedCount += s.stranded
	}
	if s.spec.RequiredLabel != "" && j.active() && s.unfinished > 0 {
		p.addLabelDemand(s, waiting, cpu)
	}
	p.waiting += int64(waiting) * cpu
	if !s.spec.Serving {
		seconds := t.meanMs(j, s.index) / 1000
		p.unfinishedWork += float64(int64(waiting)*cpu)*seconds + float64(int64(ordered)*cpu)*seconds/2
	}
	if waiting > 0 && !s.spec.Serving {
		p.waitingWork += float64(int64(waiting)*cpu) * t.meanMs(j, s.index) / 1000
	}
	if waiting > 0 && !s.spec.Serving && t.slack(s, now) < 0 {
		p.late += int64(waiting) * cpu
	}
	if s.spec.Serving {
		p.serving += int64(ordered) * cpu
	} else {
		p.running += int64(ordered) * cpu
	}
	if ordered+waiting > 0 && s.spec.MaxPerTarget > 0 {
		minHostsByPool[p.name] = max(minHostsByPool[p.name], (s.spec.Count+s.spec.MaxPerTarget-1)/s.spec.MaxPerTarget)
	}
}

// poolLogInterval is how often the pools' sizes are logged.
const poolLogInterval = time.Second

// logPools logs each pool's demand, and the hosts that it has and should have.
func (t *Table) logPools(pools []*poolState, now time.Duration) {
	if now-t.poolsLoggedAt < poolLogInterval {
		return
	}
	t.poolsLoggedAt = now
	for _, p := range pools {
		idle := 0
		for _, h := range p.hosts {
			if h.idleSince > 0 {
				idle++
			}
		}
		t.logEvent("pool", p.name,
			fmt.Sprintf("waiting=%d late=%d running=%d serving=%d arriving=%d", p.waiting, p.late, p.running, p.serving, int64(p.arrivalAt(now))),
			fmt.Sprintf("hosts=%d coming=%d wanted=%d idle=%d", len(p.hosts), p.incoming, p.wanted(), idle))
	}
}
