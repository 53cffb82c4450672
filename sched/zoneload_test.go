package sched

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// zoneLoad test: callers of batch work and two serving jobs on a pool over three zones, one of which is evacuated and taken into use again.
const (
	zoneHosts = 6
	// zoneSpares is the number of hosts in the standby pool in each zone.
	zoneSpares    = 4
	zoneCPU       = 16000
	zoneLoadTime  = 44 * time.Second
	evacuatedFrom = 14 * time.Second
	evacuatedTo   = 30 * time.Second
	// servingCount items of each serving job may be unavailable one at a time.
	servingCount    = 8
	zoneServingJobs = 2
	// zoneJobRate is the rate of arriving batch jobs a second, and zoneRunTime how long each of their zoneJobItems items runs.
	zoneJobRate  = 12
	zoneJobItems = 6
	zoneRunTime  = 800 * time.Millisecond
	// zoneStopTime is the time from a stop to the end of the run.
	zoneStopTime = 100 * time.Millisecond
	// zoneWarmup is how long a serving item takes to reach full speed; it is unavailable until then.
	zoneWarmup = 400 * time.Millisecond
	leftZone   = "z0"
)

// zoneHost is a host with its target, which is new after each move.
type zoneHost struct {
	work.Host
	moves int
	// backAt is when a move ends, 0 if the host is up, and toPool where it moves.
	backAt  time.Duration
	toPool  string
	runs    map[work.ItemID]*zoneRun
	ends    []work.EndedRun
	lastEnd int64
}

type zoneRun struct {
	run    int
	since  time.Duration
	until  time.Duration
	serves bool
}

// available reports whether the run has reached full speed and is not being stopped, as far as it serves.
func (r *zoneRun) available(now time.Duration) bool {
	return !r.serves || (now-r.since >= zoneWarmup && r.until == 0)
}

// zoneSimulation plays the load. The table gets perfect answers, so that only its decisions count.
type zoneSimulation struct {
	*testing.T
	*rand.Rand
	table   *Table
	now     time.Duration
	hosts   []*zoneHost
	due     map[work.JobID]time.Duration
	arrived map[work.JobID]time.Duration
	// startsLeft counts the starts in the zone while it is evacuated, and startsBack those after it.
	startsLeft, startsBack int
	// firstBack is when the zone gets its first start after the evacuation.
	firstBack time.Duration
	// inTime and sent count the batch jobs that arrived during the evacuation.
	inTime, sent int
	// mostUnavailable is the largest number of items of one serving job that did not run, once all of them had.
	mostUnavailable int
	complete        bool
	// servingLeft and servingRest are the numbers of serving items in the zone when the evacuation begins and when it ends.
	servingLeft, servingRest int
	events                   map[string]int
}

func newZoneSimulation(t *testing.T, seed int64, standby bool) *zoneSimulation {
	sim := &zoneSimulation{T: t, Rand: rand.New(rand.NewSource(seed)), table: New(testBounds(), WithToken(1, 0)), now: time.Second, due: map[work.JobID]time.Duration{}, arrived: map[work.JobID]time.Duration{}, events: map[string]int{}}
	pools := []work.Pool{{Name: "p"}}
	if standby {
		pools = append(pools, work.Pool{Name: "spare", Standby: true})
	}
	queue := work.Queue{Pool: "p", MaxAttempts: 3, SlackFactor: 1.6, FixedSlackMs: 1500}
	batch, serving := queue, queue
	batch.Name, serving.Name = "batch", "serving"
	sim.table.Configure(&work.Config{Version: 1, Pools: pools, Queues: []work.Queue{batch, serving}})
	for n := range 3 * (zoneHosts + zoneSpares) {
		pool := "p"
		if n >= 3*zoneHosts {
			if !standby {
				break
			}
			pool = "spare"
		}
		h := &zoneHost{Host: work.Host{Name: fmt.Sprintf("m%d", n), Pool: pool, State: work.HostUp, Zone: fmt.Sprintf("z%d", n%3), Capacity: work.Resources{CPU: zoneCPU, MemMB: 1000}}, runs: map[work.ItemID]*zoneRun{}}
		sim.hosts = append(sim.hosts, h)
		sim.register(h)
	}
	for n := range zoneServingJobs {
		sim.submit(fmt.Sprintf("%016x", n+1), "serving", work.Step{Count: servingCount, Demand: work.Resources{CPU: 2400, MemMB: 1}, Serving: true, MaxUnavailable: 1, EstimateMs: 1000})
	}
	return sim
}

// register gives the host a new target, unless it is in the standby pool.
func (sim *zoneSimulation) register(h *zoneHost) {
	h.moves++
	h.Target = ""
	if h.Pool == "spare" {
		return
	}
	h.Target = work.TargetID(fmt.Sprintf("i-%s-%d", h.Name, h.moves))
	h.ends, h.lastEnd = nil, 0
	sim.table.UpsertTarget(work.Target{ID: h.Target, Pool: h.Pool, Address: string(h.Target), Zone: h.Zone, Capacity: h.Capacity}, sim.now)
}

func (sim *zoneSimulation) submit(id, queue string, steps ...work.Step) {
	sim.table.Accept(&work.Job{ID: work.JobID(id), Queue: queue, Spec: "s", AcceptedMs: sim.now.Milliseconds(), Steps: steps}, sim.now)
}

// play plays the load; the zone is evacuated if evacuate says so.
func (sim *zoneSimulation) play(evacuate bool) {
	arrivals := rand.New(rand.NewSource(sim.Int63()))
	for n := 0; sim.now < zoneLoadTime; sim.now += loadTick {
		if sim.now >= evacuatedFrom && sim.now < evacuatedTo && evacuate {
			sim.table.SetEvacuated([]string{leftZone}, sim.now)
		} else {
			sim.table.SetEvacuated(nil, sim.now)
		}
		switch sim.now {
		case evacuatedFrom:
			sim.servingLeft = sim.servingIn(leftZone)
		case evacuatedTo:
			sim.servingRest = sim.servingIn(leftZone)
		}
		if arrivals.Float64() < zoneJobRate*loadTick.Seconds() {
			n++
			id := fmt.Sprintf("%016x", 1000+n)
			sim.submit(id, "batch", work.Step{Count: zoneJobItems, Demand: work.Resources{CPU: 2000, MemMB: 1}, EstimateMs: zoneRunTime.Milliseconds()})
			sim.arrived[work.JobID(id)] = sim.now
			sim.due[work.JobID(id)] = sim.now + time.Duration(1.6*float64(zoneRunTime)) + 1500*time.Millisecond
		}
		for _, h := range sim.hosts {
			sim.step(h)
		}
		if sim.now%(200*time.Millisecond) == 0 {
			sim.listHosts()
		}
		sim.table.Plan(sim.now)
		sim.send(sim.table.TakeOrders(), nil)
		batch, err := sim.table.Flush(sim.now)
		if err != nil {
			sim.Fatal(err)
		}
		sim.table.Flushed(batch)
		sim.send(batch.Orders, batch.HostOrders)
		for _, e := range sim.table.TakeEvents() {
			sim.events[e.Kind+" "+e.Subject]++
		}
		sim.measure()
	}
}

// step ends the host's move and its runs, and renews its target.
func (sim *zoneSimulation) step(h *zoneHost) {
	if h.backAt > 0 && sim.now >= h.backAt {
		h.backAt, h.Pool, h.State = 0, h.toPool, work.HostUp
		sim.register(h)
	}
	if h.Target == "" || h.State != work.HostUp {
		return
	}
	r := sim.table.PrepareRenewal(h.Target, sim.now)
	l := work.RenewalReply{ClockMs: sim.now.Milliseconds()}
	for id, run := range h.runs {
		if run.until > 0 && sim.now >= run.until {
			outcome := work.RunDone
			if run.serves {
				outcome = work.RunStopped
			}
			h.lastEnd++
			h.ends = append(h.ends, work.EndedRun{Sequence: h.lastEnd, Item: id, Run: run.run, Outcome: outcome})
			delete(h.runs, id)
			continue
		}
		speed := 100
		if !run.available(sim.now) {
			speed = 50
		}
		l.Running = append(l.Running, work.ActiveRun{Item: id, Run: run.run, Percent: speed})
	}
	for len(h.ends) > 0 && h.ends[0].Sequence <= r.AcknowledgedEnd {
		h.ends = h.ends[1:]
	}
	l.Ended = h.ends
	sim.table.RenewalAnswered(h.Target, l, r.AcknowledgedEnd, sim.now, sim.now)
}

func (sim *zoneSimulation) listHosts() {
	list := make([]work.Host, len(sim.hosts))
	for n, h := range sim.hosts {
		list[n] = h.Host
	}
	sim.table.ApplyHostList(list, sim.now, sim.now)
}

// send carries out orders at once.
func (sim *zoneSimulation) send(orders []Order, hostOrders []HostOrder) {
	for _, o := range orders {
		var at *zoneHost
		for _, h := range sim.hosts {
			if h.Target == TargetOf(o) {
				at = h
			}
		}
		switch o := o.(type) {
		case StartOrder:
			start, ok := sim.table.PrepareStart(o, sim.now)
			if !ok || at == nil {
				continue
			}
			sim.countStart(at)
			run := &zoneRun{run: start.Start.Run, since: sim.now, until: sim.now + zoneRunTime}
			if sim.due[o.Start.Item.Job] == 0 {
				run.until, run.serves = 0, true
			}
			at.runs[o.Start.Item] = run
			sim.table.StartAnswered(start, work.OrderReply{ClockMs: sim.now.Milliseconds()}, sim.now)
		case StopOrder:
			if at != nil && at.runs[o.Item] != nil {
				at.runs[o.Item].until = sim.now + zoneStopTime
			}
			sim.table.StopAnswered(o, work.OrderReply{ClockMs: sim.now.Milliseconds()}, sim.now)
		}
	}
	for _, o := range hostOrders {
		for _, h := range sim.hosts {
			if h.Name == o.Host {
				if len(h.runs) > 0 {
					sim.Errorf("at %s: %s is moved with %d runs", sim.now, h.Name, len(h.runs))
				}
				h.State, h.backAt, h.toPool = work.HostMoving, sim.now+testBounds().MoveTime, o.Pool
				sim.table.RemoveTarget(h.Target)
				sim.table.HostOrderAnswered(o, work.HostOrderDone, true, sim.now)
			}
		}
	}
}

func (sim *zoneSimulation) countStart(at *zoneHost) {
	switch {
	case at.Zone != leftZone || sim.now < evacuatedFrom:
	case sim.now < evacuatedTo:
		sim.startsLeft++
	default:
		sim.startsBack++
		if sim.firstBack == 0 {
			sim.firstBack = sim.now
		}
	}
}

// measure counts the completed jobs and the serving items that do not run.
func (sim *zoneSimulation) measure() {
	for id, due := range sim.due {
		_, state, _ := sim.table.Lookup(id)
		if state != work.Completed && sim.now <= due {
			continue
		}
		if at := sim.arrived[id]; at >= evacuatedFrom && at < evacuatedTo {
			sim.sent++
			if sim.now <= due {
				sim.inTime++
			}
			sim.arrived[id] = -1
		}
	}
	running := map[work.JobID]int{}
	for _, h := range sim.hosts {
		for id, run := range h.runs {
			if run.serves && run.available(sim.now) {
				running[id.Job]++
			}
		}
	}
	most := 0
	for n := range zoneServingJobs {
		most = max(most, servingCount-running[work.JobID(fmt.Sprintf("%016x", n+1))])
	}
	if most == 0 {
		sim.complete = true
	}
	if sim.complete {
		sim.mostUnavailable = max(sim.mostUnavailable, most)
	}
}

// servingIn counts the serving items that run in the zone.
func (sim *zoneSimulation) servingIn(zone string) int {
	n := 0
	for _, h := range sim.hosts {
		for _, run := range h.runs {
			if run.serves && h.Zone == zone {
				n++
			}
		}
	}
	return n
}

// TestEvacuatedZoneIsLeftWhileCallersAreServed guards against an evacuation that costs callers: starts that go on in the zone, work that waits because the pool keeps hosts that it may not use, serving items that are unavailable beyond their budget or never leave, and a zone that stays unused after it was taken into use again. Callers have to be served in time as without the evacuation.
func TestEvacuatedZoneIsLeftWhileCallersAreServed(t *testing.T) {
	for _, standby := range []bool{false, true} {
		t.Run(fmt.Sprintf("standby=%t", standby), func(t *testing.T) {
			is := is.New(t)
			for seed := range int64(3) {
				usual, left := newZoneSimulation(t, seed, standby), newZoneSimulation(t, seed, standby)
				usual.play(false)
				left.play(true)
				t.Logf("seed %d: in time %d of %d, %d of %d without the evacuation; %d starts in the zone after it, the first after %s; %d serving items left it, at most %d of a job unavailable",
					seed, left.inTime, left.sent, usual.inTime, usual.sent, left.startsBack, left.firstBack-evacuatedTo, left.servingLeft, left.mostUnavailable)
				is.Equal(left.startsLeft, 0)       // nothing starts in the zone
				is.True(left.complete)             // the serving jobs have run
				is.True(left.mostUnavailable <= 1) // their disruption budget is kept
				is.Equal(left.sent, usual.sent)
				is.True(left.inTime >= usual.inTime*95/100) // callers are served from other zones
				is.Equal(left.events["evacuationBegan z0"], 1)
				is.True(left.events["evacuationDone z0"] >= 1) // the serving items have left
				is.Equal(left.events["evacuationEnded z0"], 1)
				is.True(left.servingLeft > 0)
				is.Equal(left.servingRest, 0)
				is.True(left.startsBack > 0) // the zone is in use again
				released := 0
				for kind, n := range left.events {
					if strings.HasPrefix(kind, "released ") {
						released += n
					}
				}
				is.Equal(released > 0, standby) // idle hosts of the zone go to standby
			}
		})
	}
}

// TestAllZonesEvacuatedAtOnce guards against starts when no zone is left, and against serving items that are ended although they have nowhere to go.
func TestAllZonesEvacuatedAtOnce(t *testing.T) {
	is := is.New(t)
	sim := newZoneSimulation(t, 1, true)
	sim.play(false)
	before := sim.servingIn("z0") + sim.servingIn("z1") + sim.servingIn("z2")
	is.Equal(before, zoneServingJobs*servingCount)
	sim.submit(fmt.Sprintf("%016x", 5000), "batch", work.Step{Count: 4, Demand: work.Resources{CPU: 2000, MemMB: 1}, EstimateMs: 800})
	sim.table.SetEvacuated([]string{"z0", "z1", "z2"}, sim.now)
	for range 500 {
		for _, h := range sim.hosts {
			sim.step(h)
		}
		sim.listHosts()
		sim.table.Plan(sim.now)
		batch, err := sim.table.Flush(sim.now)
		is.NoErr(err)
		sim.table.Flushed(batch)
		for _, o := range append(sim.table.TakeOrders(), batch.Orders...) {
			t.Fatalf("at %s: order %s", sim.now, orderText(o))
		}
		for _, o := range batch.HostOrders {
			is.Equal(o.Pool, "spare") // hosts only go to standby
		}
		sim.send(nil, batch.HostOrders)
		sim.now += loadTick
	}
	is.Equal(sim.servingIn("z0")+sim.servingIn("z1")+sim.servingIn("z2"), before)
}

// TestPoolsDoNotWantMoreHostsThanMayBeUsed guards against an admission that counts on hosts of an evacuated zone, and accepts more than can be served in time: the pools together want no more hosts than there are in the other zones.
func TestPoolsDoNotWantMoreHostsThanMayBeUsed(t *testing.T) {
	is := is.New(t)
	sim := newZoneSimulation(t, 1, true)
	sim.listHosts()
	sim.submit(fmt.Sprintf("%016x", 5000), "batch", work.Step{Count: 500, Demand: work.Resources{CPU: 2000, MemMB: 1}, EstimateMs: 800})
	sim.table.SetEvacuated([]string{leftZone}, sim.now)
	sim.table.measurePools(sim.now)
	is.Equal(sim.table.pools["p"].wanted(), 2*(zoneHosts+zoneSpares))
}
