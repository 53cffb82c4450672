package sched

import (
	"fmt"
	"math"
	"math/rand"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// burst plays a load on a table without faults: jobs of one queue come at a mean rate with bursts of four times that, with declared run times that are off by a factor of two and more, on a pool that holds less than the bursts.
type burst struct {
	table *Table
	*rand.Rand
	now     time.Duration
	jobs    []*work.Job
	due     []time.Duration
	ends    map[work.TargetID][]work.EndedRun
	next    map[work.TargetID]int64
	running map[work.ItemID]*played
	missed  int
	inTime  int
	// overload is the rate of jobs a second in a burst.
	overload float64
	// small counts what the team that sends little got in time, of all that it sent.
	small, smallSent int
}

// Teams of an overload: one sends most of it, and has a small part of the weights.
const (
	hotTeam   = "hot"
	smallTeam = "small"
	smallPart = 0.1
)

type played struct {
	target work.TargetID
	run    int
	until  time.Duration
}

const (
	loadTick   = 20 * time.Millisecond
	loadLength = 40 * time.Second
	// loadDrain is long enough for all that has come to be completed.
	loadDrain   = 50 * time.Second
	loadTargets = 6
)

func playBurst(seed int64, queue work.Queue) *burst { return playLoad(seed, queue, 22) }

func playLoad(seed int64, queue work.Queue, overload float64) *burst {
	b := &burst{
		overload: overload,
		Rand:     rand.New(rand.NewSource(seed)), table: New(testBounds(), WithToken(1, 0)), now: time.Second,
		ends: map[work.TargetID][]work.EndedRun{}, next: map[work.TargetID]int64{}, running: map[work.ItemID]*played{},
	}
	queue.Name, queue.Pool, queue.MaxAttempts = "q", "p", 3
	b.table.Configure(&work.Config{Version: 1, Queues: []work.Queue{queue}, Pools: []work.Pool{{Name: "p"}}, Teams: []work.Team{{Name: hotTeam, Weight: 1}, {Name: smallTeam, Weight: 1}}})
	for n := range loadTargets {
		id := work.TargetID(fmt.Sprintf("t%d", n))
		b.table.UpsertTarget(work.Target{ID: id, Pool: "p", Address: "a", Capacity: work.Resources{CPU: 16000, MemMB: 1 << 20}}, b.now)
	}
	arrivals := rand.New(rand.NewSource(seed + 1))
	for b.now < loadLength+loadDrain {
		b.tick(arrivals)
	}
	return b
}

func (b *burst) tick(arrivals *rand.Rand) {
	rate := 2.0
	if int(b.now.Seconds())%16 < 4 {
		rate = b.overload
	}
	for chance := rate * loadTick.Seconds(); b.now < loadLength && chance > 0; chance-- {
		if arrivals.Float64() < chance {
			b.submit(arrivals)
		}
	}
	for n := range loadTargets {
		b.renew(work.TargetID(fmt.Sprintf("t%d", n)))
	}
	b.table.Plan(b.now)
	b.table.TakeEvents()
	batch, err := b.table.Flush(b.now)
	if err != nil {
		panic(err)
	}
	b.table.Flushed(batch)
	for _, o := range batch.Orders {
		s := o.(StartOrder)
		b.running[s.Start.Item] = &played{target: s.Target, run: s.Start.Run, until: b.now + b.runTime(s.Start.Item)}
		b.table.StartAnswered(s, work.OrderReply{ClockMs: b.now.Milliseconds()}, b.now)
	}
	b.now += loadTick
}

// runTime is the true run time of an item, the same whatever the order.
func (b *burst) runTime(id work.ItemID) time.Duration {
	job, err := strconv.ParseInt(string(id.Job), 16, 64)
	if err != nil {
		panic(err)
	}
	r := rand.New(rand.NewSource(job*10_000 + int64(id.Step)*100 + int64(id.Index)))
	return time.Duration(800*math.Exp(0.4*r.NormFloat64())) * time.Millisecond
}

func (b *burst) submit(arrivals *rand.Rand) {
	j := &work.Job{ID: work.JobID(fmt.Sprintf("%016x", len(b.jobs)+1)), Queue: "q", Spec: "s", Team: hotTeam, AcceptedMs: b.now.Milliseconds()}
	steps := 1 + arrivals.Intn(3)
	for n := range steps {
		s := work.Step{
			Count: 1 + arrivals.Intn(8), Demand: work.Resources{CPU: 500 + int64(arrivals.Intn(1500)), MemMB: 1},
			EstimateMs: int64(800 * math.Exp(0.9*arrivals.NormFloat64())),
		}
		if n > 0 {
			s.After = []int{n - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	if arrivals.Float64() < smallPart {
		j.Team = smallTeam
		b.smallSent++
	}
	b.jobs = append(b.jobs, j)
	// In time is what callers care for: 1.6 times the true chain, and 600 ms.
	b.due = append(b.due, b.now+time.Duration(1.6*800*float64(steps)+600)*time.Millisecond)
	b.table.Accept(j, b.now)
}

func (b *burst) renew(id work.TargetID) {
	l := work.RenewalReply{ClockMs: b.now.Milliseconds()}
	acknowledged := b.table.Renewal(id, b.now).AcknowledgedEnd
	kept := b.ends[id][:0]
	for _, e := range b.ends[id] {
		if e.Sequence > acknowledged {
			kept = append(kept, e)
		}
	}
	b.ends[id] = kept
	for _, j := range b.jobs {
		for s := range j.Steps {
			for n := range j.Steps[s].Count {
				item := work.ItemID{Job: j.ID, Step: s, Index: n}
				r := b.running[item]
				if r == nil || r.target != id {
					continue
				}
				if b.now < r.until {
					l.Running = append(l.Running, work.ActiveRun{Item: item, Run: r.run, SpeedPercent: 100})
					continue
				}
				delete(b.running, item)
				b.next[id]++
				b.ends[id] = append(b.ends[id], work.EndedRun{Sequence: b.next[id], Item: item, Run: r.run, Outcome: work.RunDone})
			}
		}
	}
	l.Ended = b.ends[id]
	b.table.RenewalAnswered(id, l, b.now, b.now)
	b.count()
}

// count notes which jobs have been shown as completed, in time or not.
func (b *burst) count() {
	for n, j := range b.jobs {
		if b.due[n] == 0 {
			continue
		}
		if _, state, _ := b.table.Lookup(j.ID); state == work.Completed {
			if b.now <= b.due[n] {
				b.inTime++
				if j.Team == smallTeam {
					b.small++
				}
			} else {
				b.missed++
			}
			b.due[n] = 0
		}
	}
}

// TestLeastSlackServesMoreCallersInABurst compares the order by slack and learned run times with the order of arrival.
func TestLeastSlackServesMoreCallersInABurst(t *testing.T) {
	is := is.New(t)
	var slack, arrival, all int
	for seed := range int64(2) {
		bySlack := playBurst(seed, work.Queue{SlackFactor: 1.6, TargetDurationMs: 600})
		byArrival := playBurst(seed, work.Queue{SlackFactor: 1, TargetDurationMs: 1 << 40})
		is.Equal(len(bySlack.jobs), len(byArrival.jobs))                 // the same load
		is.Equal(bySlack.inTime+bySlack.missed, len(bySlack.jobs))       // everything is completed
		is.Equal(byArrival.inTime+byArrival.missed, len(byArrival.jobs)) // everything is completed
		slack, arrival, all = slack+bySlack.inTime, arrival+byArrival.inTime, all+len(bySlack.jobs)
	}
	t.Logf("in time: %d by slack, %d by arrival, of %d", slack, arrival, all)
	is.True(slack > arrival)
}

// TestATeamKeepsItsShareInAnothersOverload plays bursts of several times what the pool can do, nine tenths of them by one team; the other one has half of the weights.
func TestATeamKeepsItsShareInAnothersOverload(t *testing.T) {
	is := is.New(t)
	b := playLoad(1, work.Queue{SlackFactor: 1.6, TargetDurationMs: 600}, 60)
	is.Equal(b.inTime+b.missed, len(b.jobs)) // everything is completed
	t.Logf("in time %d of %d, small team %d of %d", b.inTime, len(b.jobs), b.small, b.smallSent)
	is.True(2*b.small > b.smallSent) // a team within its share is in time
}
