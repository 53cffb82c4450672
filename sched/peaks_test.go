package sched

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// poolSimulation runs a load on one pool and a standby pool without faults: hosts move as they are ordered, and are counted while they are in the pool.
type poolSimulation struct {
	table *Table
	*rand.Rand
	now   time.Duration
	hosts []*simulatedHost
	// arrived holds when each job arrived, and runs the active runs of each target with their ends.
	arrived map[work.JobID]time.Duration
	runs    map[work.TargetID]map[work.ItemID]simulatedRun
	ends    map[work.TargetID][]work.EndedRun
	lastEnd map[work.TargetID]int64
	// arrivals draws the arrivals, so that they do not depend on what is scheduled.
	arrivals *rand.Rand
	// chain is the number of steps of each job, one after the other.
	chain  int
	jobs   int
	inTime int
	moves  int
	// stops counts the serving items that were stopped.
	stops int
	// hostTime is the time that hosts were in the pool or on their way.
	hostTime time.Duration
}

type simulatedHost struct {
	work.Host
	movingTo  string
	backAt    time.Duration
	addressNo int
}

const (
	poolTick  = 20 * time.Millisecond
	poolHosts = 64
	// poolItems is the number of items of each job, of 2 cores and about 0.8 s, so that 60 jobs a second keep some 25 hosts of 16 cores busy.
	poolItems = 4
	// A job may take poolStepSlack, which is 1.6 times the run time, for each step, and poolFixedSlack.
	poolStepSlack  = 1300 * time.Millisecond
	poolFixedSlack = 600 * time.Millisecond
)

// simulatePool plays jobs that arrive at the rate, in jobs a second, that turns gives for each time.
func simulatePool(seed int64, features work.Features, chain int, length time.Duration, turns func(time.Duration) float64) *poolSimulation {
	sim := &poolSimulation{
		Rand: rand.New(rand.NewSource(seed)), arrivals: rand.New(rand.NewSource(seed + 1000)), chain: chain, table: New(testBounds(), WithToken(1, 0), WithFeatures(features)), now: time.Second,
		arrived: map[work.JobID]time.Duration{}, runs: map[work.TargetID]map[work.ItemID]simulatedRun{},
		ends: map[work.TargetID][]work.EndedRun{}, lastEnd: map[work.TargetID]int64{},
	}
	sim.table.Configure(&work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", MaxAttempts: 3, SlackFactor: 1.6, FixedSlackMs: 600}}, Pools: []work.Pool{{Name: "p"}, {Name: "off", Standby: true}}})
	for n := range poolHosts {
		h := &simulatedHost{Host: work.Host{Name: fmt.Sprintf("m%02d", n), Pool: "off", State: work.HostUp, Capacity: work.Resources{CPU: 16_000, MemMB: 32_000}}}
		if n < minHosts {
			h.Pool = "p"
		}
		sim.hosts = append(sim.hosts, h)
		sim.start(h)
	}
	for sim.now < length {
		sim.tick(turns(sim.now))
	}
	return sim
}

// addServing adds hosts to the pool up to the given number, and a job whose serving items run on its targets by turns.
func (sim *poolSimulation) addServing(hosts, items int) {
	j := &work.Job{ID: servingJob, Queue: "q", Spec: "s", Team: "t", AcceptedMs: sim.now.Milliseconds(), Steps: []work.Step{{Count: items, Demand: work.Resources{CPU: 2200, MemMB: 7600}, Serving: true, MaxUnavailable: 1, MaxPerTarget: 3}}}
	progress := &work.JobProgress{State: work.Running}
	for n := range items {
		h := sim.hosts[n%hosts]
		if h.Pool != "p" {
			h.Pool = "p"
			sim.start(h)
		}
		item := work.ItemID{Job: j.ID, Index: n}
		progress.Items = append(progress.Items, work.ItemProgress{Index: n, Run: 1, Target: h.Target})
		sim.runs[h.Target][item] = simulatedRun{target: h.Target, run: 1, until: math.MaxInt64}
	}
	sim.table.LoadJob(j, progress, sim.now)
}

// servingJob is the job of the serving items.
const servingJob = work.JobID("ffffffffffffffff")

// servingStart is how long a started serving item takes until it is at full pace.
const servingStart = 500 * time.Millisecond

// stopServing ends the serving items that the table has stopped.
func (sim *poolSimulation) stopServing() {
	for _, o := range sim.table.TakeOrders() {
		s, ok := o.(StopOrder)
		if !ok {
			continue
		}
		if r, ok := sim.runs[s.Target][s.Item]; ok && r.run == s.Run {
			delete(sim.runs[s.Target], s.Item)
			sim.lastEnd[s.Target]++
			sim.ends[s.Target] = append(sim.ends[s.Target], work.EndedRun{Sequence: sim.lastEnd[s.Target], Item: s.Item, Run: s.Run, Outcome: work.RunStopped})
			sim.stops++
		}
		sim.table.StopAnswered(s, work.OrderReply{ClockMs: sim.now.Milliseconds()}, sim.now)
	}
}

// start starts a new target on the host.
func (sim *poolSimulation) start(h *simulatedHost) {
	if h.Target != "" {
		sim.table.RemoveTarget(h.Target)
	}
	h.addressNo++
	h.Target = work.TargetID(fmt.Sprintf("%s-%d", h.Name, h.addressNo))
	sim.runs[h.Target] = map[work.ItemID]simulatedRun{}
	if h.Pool == "p" {
		sim.table.UpsertTarget(work.Target{ID: h.Target, Pool: h.Pool, Address: string(h.Target), Capacity: h.Capacity}, sim.now)
	}
}

func (sim *poolSimulation) tick(rate float64) {
	for chance := rate * poolTick.Seconds(); chance > 0; chance-- {
		if sim.arrivals.Float64() < chance {
			sim.jobs++
			j := &work.Job{ID: work.JobID(fmt.Sprintf("%016x", sim.jobs)), Queue: "q", Spec: "s", Team: "t", AcceptedMs: sim.now.Milliseconds()}
			for n := range sim.chain {
				s := work.Step{Count: poolItems, Demand: work.Resources{CPU: 2000, MemMB: 1}, EstimateMs: 800}
				if n > 0 {
					s.After = []int{n - 1}
				}
				j.Steps = append(j.Steps, s)
			}
			sim.arrived[j.ID] = sim.now
			sim.table.Accept(j, sim.now)
		}
	}
	var list []work.Host
	for _, h := range sim.hosts {
		if h.movingTo != "" && sim.now >= h.backAt {
			h.Pool, h.movingTo, h.State = h.movingTo, "", work.HostUp
			sim.start(h)
		}
		if h.movingTo == "p" || (h.Pool == "p" && h.movingTo == "") {
			sim.hostTime += poolTick
		}
		if h.Pool == "p" && h.movingTo == "" {
			sim.renew(h.Target)
		}
		list = append(list, h.Host)
	}
	if sim.now%(200*time.Millisecond) == 0 {
		sim.table.ApplyHostList(list, sim.now, sim.now)
	}
	sim.table.Plan(sim.now)
	batch, err := sim.table.Flush(sim.now)
	if err != nil {
		panic(err)
	}
	sim.table.Flushed(batch)
	for _, o := range batch.Orders {
		if s, ok := o.(StartOrder); ok {
			if s.Start.Item.Job == servingJob {
				sim.runs[s.Target][s.Start.Item] = simulatedRun{target: s.Target, run: s.Start.Run, startedAt: sim.now, until: math.MaxInt64}
				sim.table.StartAnswered(s, work.OrderReply{ClockMs: sim.now.Milliseconds()}, sim.now)
				continue
			}
			took := time.Duration(800*math.Exp(0.3*sim.NormFloat64())) * time.Millisecond
			sim.runs[s.Target][s.Start.Item] = simulatedRun{target: s.Target, run: s.Start.Run, until: sim.now + took}
			sim.table.StartAnswered(s, work.OrderReply{ClockMs: sim.now.Milliseconds()}, sim.now)
		}
	}
	for _, o := range batch.HostOrders {
		for _, h := range sim.hosts {
			if h.Name == o.Host {
				h.movingTo, h.backAt, h.State = o.Pool, sim.now+testBounds().MoveTime, work.HostMoving
				sim.moves++
			}
		}
		sim.table.HostOrderAnswered(o, work.HostOrderDone, true, sim.now)
	}
	sim.countEnded(batch)
	sim.stopServing()
	sim.table.TakeEvents()
	sim.now += poolTick
}

// countEnded counts the jobs that have been completed in time.
func (sim *poolSimulation) countEnded(batch *Batch) {
	for _, id := range batch.EndedJobs() {
		if at, ok := sim.arrived[id]; ok && sim.now-at <= time.Duration(sim.chain)*poolStepSlack+poolFixedSlack {
			sim.inTime++
		}
		delete(sim.arrived, id)
	}
}

// renew answers a renewal of the target's lease.
func (sim *poolSimulation) renew(id work.TargetID) {
	reply := work.RenewalReply{ClockMs: sim.now.Milliseconds()}
	acknowledged := sim.table.PrepareRenewal(id, sim.now).AcknowledgedEnd
	kept := sim.ends[id][:0]
	for _, e := range sim.ends[id] {
		if e.Sequence > acknowledged {
			kept = append(kept, e)
		}
	}
	for _, item := range sortedItems(sim.runs[id]) {
		r := sim.runs[id][item]
		if sim.now < r.until {
			speed := 100
			if r.startedAt > 0 && sim.now-r.startedAt < servingStart {
				speed = 0
			}
			reply.Running = append(reply.Running, work.ActiveRun{Item: item, Run: r.run, Percent: speed})
			continue
		}
		delete(sim.runs[id], item)
		sim.lastEnd[id]++
		kept = append(kept, work.EndedRun{Sequence: sim.lastEnd[id], Item: item, Run: r.run, Outcome: work.RunDone})
	}
	sim.ends[id] = kept
	reply.Ended = kept
	sim.table.RenewalAnswered(id, reply, acknowledged, sim.now, sim.now)
}

// TestServingItemsAreBroughtTogether guards against a pool that keeps 19 hosts for 24 serving items while its demand is low, and against more than one of them away at once: within 30 s the pool has to be down to what it wants and one more, with one move for each host that is given up.
func TestServingItemsAreBroughtTogether(t *testing.T) {
	is := is.New(t)
	const hosts, items = 19, 24
	sim := simulatePool(1, work.Features{}, 1, 2*time.Second, func(time.Duration) float64 { return 3 })
	sim.addServing(hosts, items)
	away := time.Duration(0)
	for sim.now < 32*time.Second {
		sim.tick(3)
		running := 0
		for _, runs := range sim.runs {
			for item, r := range runs {
				if item.Job == servingJob && (r.startedAt == 0 || sim.now-r.startedAt >= servingStart) {
					running++
				}
			}
		}
		is.True(running >= items-1) // the disruption budget
		away += time.Duration(items-running) * poolTick
	}
	p := sim.table.pools["p"]
	t.Logf("hosts %d, wanted %d, items moved %d, away %v in all, host-seconds %.0f", len(p.hosts), p.wanted(), sim.stops, away, sim.hostTime.Seconds())
	is.True(len(p.hosts) <= p.wanted()+1)
	is.True(sim.stops >= hosts-len(p.hosts) && sim.stops <= 2*(hosts-len(p.hosts)))
}

// turn returns the rate of a load that is high for 4 s of every 12 s.
func turn(now time.Duration, high float64) float64 {
	if now%(12*time.Second) >= 8*time.Second {
		return high
	}
	return high / 20
}

// loads are turns of demand that recur, stop, shift or double.
var loads = []struct {
	name  string
	chain int
	// recurs means that turns recur without a change and at a rate at which their beginnings are clear.
	recurs bool
	turns  func(time.Duration) float64
}{
	{"regular", 1, true, func(now time.Duration) float64 { return turn(now, 60) }},
	{"stop", 1, false, func(now time.Duration) float64 {
		if now > 48*time.Second {
			return 3
		}
		return turn(now, 60)
	}},
	{"shift", 1, false, func(now time.Duration) float64 {
		if now > 50*time.Second {
			now += 4 * time.Second
		}
		return turn(now, 60)
	}},
	{"double", 1, false, func(now time.Duration) float64 {
		if now > 50*time.Second {
			return turn(now, 120)
		}
		return turn(now, 60)
	}},
	{"ramp", 1, false, func(now time.Duration) float64 {
		x := (now % (16 * time.Second)).Seconds()
		return max(3, min(60, 15*(x-8)))
	}},
	{"irregular", 1, false, func(now time.Duration) float64 {
		for _, start := range []float64{8, 19, 35, 44, 63, 80} {
			if s := now.Seconds() - start; s >= 0 && s < 4 {
				return 60
			}
		}
		return 3
	}},
	{"steady", 1, false, func(time.Duration) float64 { return 40 }},
	{"chain", 3, false, func(now time.Duration) float64 { return turn(now, 20) }},
}

// moveCost is what a move costs in seconds of a host.
const moveCost = 1 / 0.9

// TestPoolsFollowPeaks guards against a sizing of pools by remembered peaks that costs callers or hosts: on turns of demand that recur, stop, shift or double, as well as on other loads, no more jobs may be late and no more may be spent on hosts and moves than by the present arrivals alone, and far fewer jobs may be late where turns recur.
func TestPoolsFollowPeaks(t *testing.T) {
	t.Parallel()
	disabled := work.Features{}.WithDisabled(work.PeakForecast)
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			is := is.New(t)
			const seeds = 2
			play := func(features work.Features) (late int, cost float64) {
				var held time.Duration
				jobs, moves := 0, 0
				for seed := range int64(seeds) {
					sim := simulatePool(seed, features, l.chain, 96*time.Second, l.turns)
					late, jobs, moves, held = late+sim.jobs-sim.inTime, jobs+sim.jobs, moves+sim.moves, held+sim.hostTime
				}
				t.Logf("peaks=%t: jobs=%d late=%d hostSeconds=%.0f moves=%d", features.Enabled(work.PeakForecast), jobs, late, held.Seconds(), moves)
				return late, held.Seconds() + moveCost*float64(moves)
			}
			late, cost := play(work.Features{})
			baseLate, baseCost := play(disabled)
			is.True(late <= baseLate) // late jobs
			is.True(cost <= baseCost) // cost of hosts and moves
			if l.recurs {
				is.True(3*late < 2*baseLate) // most rises are expected
			}
			if l.name == "irregular" {
				is.True(cost < 0.95*baseCost) // without predictions too, fewer hosts are held near the top and at the end
			}
		})
	}
}

// TestHostsAreReleasedAtTheEndOfAPeak guards against hosts that are held by the memory of a demand that is over: 700 ms after the end of a peak, the pool may want no more hosts than its unfinished work needs, where the memory asks for half as many again.
func TestHostsAreReleasedAtTheEndOfAPeak(t *testing.T) {
	is := is.New(t)
	load := func(now time.Duration) float64 {
		if now >= 8*time.Second && now < 12*time.Second {
			return 60
		}
		return 3
	}
	pool := func(features work.Features) *poolState {
		return simulatePool(1, features, 1, 12700*time.Millisecond, load).table.pools["p"]
	}
	p, base := pool(work.Features{}), pool(work.Features{}.WithDisabled(work.PeakForecast))
	needed := p.minimum + p.hostsFor(float64(p.waiting+p.running))
	t.Logf("wanted %d, by unfinished work %d, without peaks %d", p.wanted(), needed, base.wanted())
	is.Equal(p.wanted(), needed)
	is.True(2*base.wanted() >= 3*p.wanted())
}

// sortedItems returns the items in the order of their identifiers.
func sortedItems(runs map[work.ItemID]simulatedRun) []work.ItemID {
	return slices.SortedFunc(maps.Keys(runs), func(a, b work.ItemID) int { return strings.Compare(a.String(), b.String()) })
}
