package sched

import (
	"fmt"
	"testing"
	"time"

	"lavenderwing.example/lavenderwing/learn"
	"lavenderwing.example/lavenderwing/work"
)

// fullSizeTable returns a table of the largest fleet that the design allows for: 3,100 hosts in 58 pools, 250 teams, 10,000 waiting items and full pools, after the given number of finished runs of each queue.
func fullSizeTable(b *testing.B, runs int) (*Table, time.Duration) {
	b.Helper()
	const hosts, pools, teams, jobs, items = 3100, 58, 250, 500, 20
	c := &work.Config{Version: 1}
	for n := range pools {
		name := fmt.Sprintf("p%d", n)
		c.Pools = append(c.Pools, work.Pool{Name: name})
		c.Queues = append(c.Queues, work.Queue{Name: "q" + name, Pool: name, MaxAttempts: 3, SlackFactor: 2, FixedSlackMs: 600})
	}
	for n := range teams {
		c.Teams = append(c.Teams, work.Team{Name: fmt.Sprintf("t%d", n), Weight: 1})
	}
	now := time.Second
	t := New(testBounds(), WithToken(1, now))
	t.Configure(c)
	for n := range pools * runs {
		key := learn.Key{Queue: fmt.Sprintf("qp%d", n%pools), Team: fmt.Sprintf("t%d", n%teams)}
		t.learned.Observe(key, time.Duration(800+n%400)*time.Millisecond, 1000, now)
		t.ensureRunStats(key.Queue).observe(time.Second, 1000)
	}
	for n := range hosts {
		id := work.TargetID(fmt.Sprintf("i%d", n))
		t.UpsertTarget(work.Target{ID: id, Pool: fmt.Sprintf("p%d", n%pools), Address: "a", Capacity: work.Resources{CPU: 1000, MemMB: 1000}}, now)
		t.RenewalAnswered(id, work.RenewalReply{ClockMs: 1000}, 0, now, now)
	}
	for n := range jobs + hosts/items {
		t.Accept(&work.Job{
			ID: work.JobID(fmt.Sprintf("%016x", n)), Queue: fmt.Sprintf("qp%d", n%pools), Team: fmt.Sprintf("t%d", n%teams),
			Steps: []work.Step{{Count: items, Demand: work.Resources{CPU: 1000, MemMB: 1}, EstimateMs: 1000}},
		}, now)
	}
	for range 3 {
		now += 10 * time.Millisecond
		t.Plan(now)
		batch, err := t.Flush(now)
		if err != nil {
			b.Fatal(err)
		}
		t.Flushed(batch)
	}
	return t, now
}

// BenchmarkPlanAtFullSize measures a plan of the table at full size.
func BenchmarkPlanAtFullSize(b *testing.B) { benchmarkPlan(b, 0) }

// BenchmarkPlanWithLearnedTimes is BenchmarkPlanAtFullSize with learned run times for each queue.
func BenchmarkPlanWithLearnedTimes(b *testing.B) { benchmarkPlan(b, 100) }

// benchmarkPlan measures a plan after the given number of runs of each queue.
func benchmarkPlan(b *testing.B, runs int) {
	t, now := fullSizeTable(b, runs)
	b.ReportAllocs()
	for b.Loop() {
		now += 10 * time.Microsecond
		t.Plan(now)
		t.TakeEvents()
	}
}

// BenchmarkClassifyAtFullSize measures the decision on the order of full pools, which is made once each teamLoadInterval, at full size.
func BenchmarkClassifyAtFullSize(b *testing.B) {
	t, now := fullSizeTable(b, 0)
	now += time.Second
	t.Plan(now)
	b.ReportAllocs()
	for b.Loop() {
		t.classify(now)
	}
}

// BenchmarkEvictAtFullSize measures the choice of runs to stop, which is made once each evictInterval, at full size.
func BenchmarkEvictAtFullSize(b *testing.B) {
	t, now := fullSizeTable(b, 0)
	t.Plan(now)
	b.ReportAllocs()
	for b.Loop() {
		t.evictForUrgent(now)
	}
}
