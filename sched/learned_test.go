package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/learn"
	"lavenderwing.example/lavenderwing/work"
)

// learnedConfig has one queue and one pool.
var learnedConfig = &work.Config{Version: 1, Pools: []work.Pool{{Name: "p"}}, Queues: []work.Queue{{Name: "q", Pool: "p", MaxAttempts: 3, SlackFactor: 2}}}

// learnedTable returns a table with one target that has learned of 100 runs of a second each, whose callers declared half of that.
func learnedTable() *Table {
	t := New(testBounds(), WithToken(1, 0))
	t.SetWallClock(1_700_000_000_000, 0)
	t.Configure(learnedConfig)
	t.UpsertTarget(work.Target{ID: "t", Pool: "p", Address: "a", Capacity: work.Resources{CPU: 16000, MemMB: 1 << 20}}, time.Second)
	for range 100 {
		t.learned.Observe(learn.Key{Queue: "q", Team: "team"}, time.Second, 500, time.Second)
		t.ensureRunStats("q").observe(time.Second, 500)
	}
	return t
}

func learnedJob(n, count int) *work.Job {
	return &work.Job{ID: work.JobID(fmt.Sprintf("%016x", n)), Queue: "q", Pool: "p", Team: "team", AcceptedMs: 1_700_000_001_000, Steps: []work.Step{{Count: count, Demand: work.Resources{CPU: 1000, MemMB: 1}, EstimateMs: 500}}}
}

// startOne starts a job of one item on the target and returns the item.
func startOne(is *is.I, t *Table, now time.Duration) *item {
	t.RenewalAnswered("t", work.RenewalReply{ClockMs: now.Milliseconds()}, 0, now, now)
	t.Accept(learnedJob(1, 1), now)
	t.Plan(now)
	b, err := t.Flush(now)
	is.NoErr(err)
	t.Flushed(b)
	start, ok := t.PrepareStart(b.Orders[0].(StartOrder), now)
	is.True(ok)
	t.StartAnswered(start, work.OrderReply{ClockMs: now.Milliseconds()}, now)
	return t.findItem(start.Start.Item)
}

// TestOnlyUndisturbedRunsAreLearned guards against run times that are none: of runs that were stopped, slow, adopted or paced, or whose ends came late or twice.
func TestOnlyUndisturbedRunsAreLearned(t *testing.T) {
	const began = 2 * time.Second
	for _, c := range []struct {
		name    string
		disturb func(t *Table, it *item)
		learned float64
	}{
		{"undisturbed", func(*Table, *item) {}, 101},
		{"stopped", func(t *Table, it *item) { t.orderStop(it, began) }, 100},
		{"target did not answer in between", func(t *Table, _ *item) { t.CallUnanswered("t", began+time.Millisecond) }, 100},
		{"shown with its progress", func(t *Table, it *item) {
			t.updateRun(it, &work.ActiveRun{Item: it.id, Run: it.run, Percent: 40}, began)
		}, 101},
		{"paced for a while", func(t *Table, it *item) {
			it.timed = false
			t.updateRun(it, &work.ActiveRun{Item: it.id, Run: it.run, Percent: 40}, began)
		}, 100},
		{"paced", func(_ *Table, it *item) { it.pacePercent = 50 }, 100},
		{"second run", func(_ *Table, it *item) { it.run = 2 }, 100},
		{"started by an earlier holder", func(_ *Table, it *item) { it.timed, it.orderedAt = false, 0 }, 100},
		{"adopted", func(t *Table, it *item) {
			tgt := it.target
			t.loseRun(it, began)
			t.adopt(it, tgt, began)
		}, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := learnedTable()
			it := startOne(is, table, began)
			c.disturb(table, it)
			now := began + 900*time.Millisecond
			reply := work.RenewalReply{ClockMs: now.Milliseconds(), Ended: []work.EndedRun{{Sequence: 1, Item: it.id, Run: it.run, Outcome: work.RunDone}}}
			table.RenewalAnswered("t", reply, 0, now, now)
			table.RenewalAnswered("t", reply, 0, now, now)
			is.Equal(it.state, itemEnded)
			is.Equal(table.learned.Runs("q"), c.learned)
			is.Equal(len(table.TakeExpectationErrors()), int(c.learned)-100)
		})
	}
	t.Run("reply after a halt", func(t *testing.T) {
		is := is.New(t)
		table := learnedTable()
		it := startOne(is, table, began)
		now := began + maxReplyGap + time.Second
		table.RenewalAnswered("t", work.RenewalReply{ClockMs: now.Milliseconds(), Ended: []work.EndedRun{{Sequence: 1, Item: it.id, Run: 1, Outcome: work.RunDone}}}, 0, now, now)
		is.Equal(it.state, itemEnded)
		is.Equal(table.learned.Runs("q"), 100.0)
	})
}

// recorded returns the entries of a batch that the table writes with a job's progress, by key.
func recorded(is *is.I, t *Table, now time.Duration) map[string][]byte {
	t.Accept(learnedJob(9, 1), now)
	t.markDirty(t.jobs[learnedJob(9, 1).ID])
	b, err := t.Flush(now)
	is.NoErr(err)
	entries := map[string][]byte{}
	for _, e := range b.Entries {
		entries[e.Key] = e.Value
	}
	return entries
}

// TestLearnedTimesOverHandOvers guards against a successor that begins anew or ends itself: processes of this version, of the one before and with the feature off alternate as holder, and the record may be damaged or of a later version.
func TestLearnedTimesOverHandOvers(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	entries := recorded(is, learnedTable(), now)
	is.True(len(entries[learnedKey]) <= maxLearnedBytes)
	// The version before reads its statistics, and takes the other record for a job's progress that it cannot decode.
	var stats work.RunStatsRecord
	is.NoErr(work.Decode(entries[statsKey], &stats))
	is.Equal(stats.Queues[0].Runs, 100.0)
	is.True(!work.HasFinalState(entries[learnedKey]))
	is.True(work.Decode(entries[learnedKey], &work.JobProgress{}) != nil)
	is.True(!IsJobKey(learnedKey) && !IsJobKey(learnedPrefix+"3"))

	later := append([]byte{entries[learnedKey][0], 2}, entries[learnedKey][2:]...)
	for _, c := range []struct {
		name, key string
		value     []byte
		features  work.Features
		runs      float64
		ignored   bool
	}{
		{"this version", learnedKey, entries[learnedKey], work.Features{}, 100, false},
		{"damaged", learnedKey, entries[learnedKey][:20], work.Features{}, 0, true},
		{"empty", learnedKey, nil, work.Features{}, 0, true},
		{"later form", learnedKey, later, work.Features{}, 0, true},
		{"later key", learnedPrefix + "3", entries[learnedKey], work.Features{}, 0, true},
		{"turned off", learnedKey, entries[learnedKey], work.Features{}.WithDisabled(work.LearnedTimes), 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			next := New(testBounds(), WithToken(2, now), WithFeatures(c.features))
			next.SetWallClock(1_700_000_000_000, 0)
			next.Configure(learnedConfig)
			is.NoErr(next.LoadHostOrWave(c.key, c.value))
			is.NoErr(next.LoadHostOrWave(statsKey, entries[statsKey]))
			ignored := false
			for _, e := range next.TakeEvents() {
				ignored = ignored || e.Kind == "statsIgnored"
			}
			is.Equal(ignored, c.ignored)
			is.Equal(next.LearnedRuns()["q"], c.runs)
			next.LoadJob(learnedJob(2, 1), nil, now)
			next.RestoreArrivals(now)
			path := next.criticalPathMs(next.jobs[learnedJob(2, 1).ID]) // by the statistics of the version before if need be
			is.True(path > 900 && path < 1100)
			_, again := recorded(is, next, now+statsInterval)[learnedKey]
			is.Equal(again, c.features.Enabled(work.LearnedTimes))
		})
	}
}

// TestProgressTellsTheRemainingTime guards against expectations that ignore what a target shows: a long run is known as such by its progress long before it has outlasted the others, and progress that is not known yet says nothing.
func TestProgressTellsTheRemainingTime(t *testing.T) {
	is := is.New(t)
	table := learnedTable()
	const began = 2 * time.Second
	it := startOne(is, table, began)
	e := &it.step.job.expectations[it.step.index]
	unknown := runningMs(e, it, began+400*time.Millisecond)
	for _, c := range []struct {
		percent int
		at, now time.Duration
		want    float64
	}{
		{0, 400 * time.Millisecond, 400 * time.Millisecond, unknown},
		{minProgressPercent - 1, 400 * time.Millisecond, 400 * time.Millisecond, unknown},
		{10, 400 * time.Millisecond, 400 * time.Millisecond, 3600},
		{10, 400 * time.Millisecond, 1000 * time.Millisecond, 3000},
		{80, 800 * time.Millisecond, 800 * time.Millisecond, 200},
		{80, 800 * time.Millisecond, 1500 * time.Millisecond, 0},
	} {
		table.updateRun(it, &work.ActiveRun{Item: it.id, Run: it.run, Percent: c.percent}, began+c.at)
		got := runningMs(e, it, began+c.now)
		is.True(got > c.want-1 && got < c.want+1) // remaining milliseconds
	}
}

// TestOutlastingRunMakesItsJobLate guards against items that overtake others although their job cannot be in time any more, because one of its runs has outlasted the body.
func TestOutlastingRunMakesItsJobLate(t *testing.T) {
	is := is.New(t)
	table := learnedTable()
	for range 4 {
		table.learned.Observe(learn.Key{Queue: "q", Team: "team"}, 9*time.Second, 500, time.Second)
	}
	const began = 2 * time.Second
	it := startOne(is, table, began)
	table.measureEnds(began)
	is.Equal(table.latenessWithRuns(it.step, time.Second), inTime)
	now := began + 1500*time.Millisecond
	table.measureEnds(now)
	is.True(table.latenessWithRuns(it.step, time.Second) != inTime)
}

// TestItemsGoWhereHostsStay guards against a host that never becomes empty because it gets a new item each time that its others are about to end.
func TestItemsGoWhereHostsStay(t *testing.T) {
	is := is.New(t)
	table := learnedTable()
	const now = 2 * time.Second
	table.UpsertTarget(work.Target{ID: "u", Pool: "p", Address: "b", Capacity: work.Resources{CPU: 16000, MemMB: 1 << 20}}, now)
	table.Accept(learnedJob(1, 1), now)
	it := table.activeJobs[0].occurrences[0].steps[0].item(0)
	ending, staying := table.targets["t"], table.targets["u"]
	ending.busyUntil, staying.busyUntil = now+100*time.Millisecond, now+5*time.Second
	is.True(table.score(it, staying, now) > table.score(it, ending, now))
	staying.maintenanceDue = true
	is.True(table.score(it, staying, now) < table.score(it, ending, now))
	staying.maintenanceDue = false
	table.learned = nil
	is.Equal(table.score(it, staying, now), table.score(it, ending, now)) // as before with the feature off
}

// TestLearnedIsLogged guards against a feature whose work operators cannot see.
func TestLearnedIsLogged(t *testing.T) {
	is := is.New(t)
	table := learnedTable()
	for now := 20 * time.Second; now < 35*time.Second; now += time.Second {
		table.Plan(now)
	}
	var lines []string
	for _, e := range table.TakeEvents() {
		if e.Kind == "learned" {
			lines = append(lines, e.Subject+" "+e.Cause+" "+e.Detail)
		}
	}
	is.Equal(len(lines), 2)
	is.True(strings.HasPrefix(lines[0], "q runs=100 medianMs=10"))
	is.True(strings.HasSuffix(lines[0], "declaredWeight=0.00"))
}
