package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// handOver returns the table of a successor that has loaded what the table has recorded.
func handOver(is *is.I, former *Table, jobs []*work.Job, now time.Duration) *Table {
	for _, j := range former.activeJobs {
		former.markDirty(j)
	}
	b, err := former.Flush(now)
	is.NoErr(err)
	next := New(testBounds(), WithToken(2, now))
	next.SetWallClock(1_700_000_000_000+now.Milliseconds(), now)
	next.Configure(former.config)
	for _, e := range b.Entries {
		if !IsJobKey(e.Key) {
			is.NoErr(next.LoadHostOrWave(e.Key, e.Value))
		}
	}
	for _, j := range jobs {
		next.LoadJob(j, nil, now)
	}
	next.RestoreArrivals(now)
	return next
}

// TestBurstGoesOnAfterATakeover guards against a successor that begins a burst's estimate and the run times anew, so that callers wait for hosts and late jobs are accepted.
func TestBurstGoesOnAfterATakeover(t *testing.T) {
	is := is.New(t)
	former := New(testBounds(), WithToken(1, 0))
	former.SetWallClock(1_700_000_000_000, 0)
	former.Configure(&work.Config{Version: 1, Pools: []work.Pool{{Name: "p"}}, Queues: []work.Queue{{Name: "q", Pool: "p", SlackFactor: 2}}})
	stats := former.ensureRunStats("q")
	for range 100 {
		stats.observe(1600*time.Millisecond, 800)
	}
	var jobs []*work.Job
	now := 10 * time.Second
	for n := range 40 {
		now += 20 * time.Millisecond
		j := &work.Job{ID: work.JobID(string(rune('a'+n%26)) + "0000000000000" + string(rune('0'+n/10)) + string(rune('0'+n%10))), Queue: "q", Pool: "p", AcceptedMs: 1_700_000_000_000 + now.Milliseconds(), Steps: []work.Step{{Count: 5, Demand: work.Resources{CPU: 1000, MemMB: 1}, EstimateMs: 800}}}
		jobs = append(jobs, j)
		former.Accept(j, now)
	}
	next := handOver(is, former, jobs, now+50*time.Millisecond)
	was, got := former.pools["p"], next.pools["p"]
	is.True(got.arrivalAt(now) > 0.9*was.arrivalAt(now) && got.arrivalAt(now) < 1.1*was.arrivalAt(now)) // the average of what arrives
	is.True(got.burst.rate(now) > 0.8*was.burst.rate(now))                                              // the rate of the burst
	is.Equal(next.ensureRunStats("q").meanMs(), stats.meanMs())                                         // what the runs have shown
}

// TestJobsStoredWithoutAHolderAreNoBurst guards against hosts that are ordered for nothing after a takeover, because the jobs that were stored meanwhile seem to arrive at once.
func TestJobsStoredWithoutAHolderAreNoBurst(t *testing.T) {
	is := is.New(t)
	table := New(testBounds(), WithToken(2, 0))
	now := 10 * time.Second
	table.SetWallClock(1_700_000_000_000+now.Milliseconds(), now)
	table.Configure(&work.Config{Version: 1, Pools: []work.Pool{{Name: "p"}}, Queues: []work.Queue{{Name: "q", Pool: "p", SlackFactor: 2}}})
	const perSecond = 5 * 1000 * 0.8 * 20
	for n := range 20 {
		table.Accept(&work.Job{ID: work.JobID(string(rune('a'+n)) + "000000000000000"), Queue: "q", Pool: "p", AcceptedMs: 1_700_000_000_000 + now.Milliseconds() - int64(n)*50, Steps: []work.Step{{Count: 5, Demand: work.Resources{CPU: 1000, MemMB: 1}, EstimateMs: 800}}}, now)
	}
	is.True(table.pools["p"].burst.rate(now) < 1.5*perSecond) // they arrived over a second
}

// TestProcessThatHasJustStartedTakesOver guards against a successor that ends itself because jobs arrived before it started, at negative times of its clock.
func TestProcessThatHasJustStartedTakesOver(t *testing.T) {
	is := is.New(t)
	now := 330 * time.Millisecond
	table := New(testBounds(), WithToken(2, now))
	table.SetWallClock(1_700_000_000_000, now)
	table.Configure(&work.Config{Version: 1, Pools: []work.Pool{{Name: "p"}}, Queues: []work.Queue{{Name: "q", Pool: "p", SlackFactor: 2}}})
	job := func(id work.JobID, ago int64) *work.Job {
		return &work.Job{ID: id, Queue: "q", Pool: "p", AcceptedMs: 1_700_000_000_000 - ago, Steps: []work.Step{{Count: 5, Demand: work.Resources{CPU: 1000, MemMB: 1}, EstimateMs: 800}}}
	}
	table.LoadJob(job("a000000000000000", 450), nil, now)
	table.RestoreArrivals(now)
	table.Accept(job("b000000000000000", 500), now)
	is.True(table.pools["p"].burst.rate(now) > 0)
}
