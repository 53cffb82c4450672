package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// TestRefusedProgressHoldsUpOnlyItsJob guards against jobs that stand still beside one whose progress the store refuses, and against orders and acknowledgements of that job that go out although nothing of it is recorded.
func TestRefusedProgressHoldsUpOnlyItsJob(t *testing.T) {
	is := is.New(t)
	table := New(testBounds())
	table.Configure(&work.Config{Version: 1, Pools: []work.Pool{{Name: "p"}}, Queues: []work.Queue{{Name: "q", Pool: "p", MaxAttempts: 1, SlackFactor: 2}}})
	table.UpsertTarget(work.Target{ID: "i-1", Pool: "p", Address: "a", Capacity: work.Resources{CPU: 4000, MemMB: 100}, StartedMs: 2}, time.Second)
	table.RenewalAnswered("i-1", work.RenewalReply{ClockMs: 1000, StartedMs: 2}, 0, time.Second, time.Second)
	const bad, good = work.JobID("00000000000000a1"), work.JobID("00000000000000a2")
	for _, id := range []work.JobID{bad, good} {
		table.Accept(&work.Job{ID: id, Queue: "q", Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: 1, MemMB: 1}}}}, time.Second)
	}
	flush := func(now time.Duration, refused ...string) *Batch {
		t.Helper()
		b, err := table.Flush(now)
		is.NoErr(err)
		table.Refused(b, refused, now)
		table.Flushed(b)
		return b
	}
	started := func(b *Batch) (jobs []work.JobID) {
		for _, o := range b.Orders {
			jobs = append(jobs, o.(StartOrder).Start.Item.Job)
		}
		return jobs
	}
	now := time.Second
	table.Plan(now)
	is.Equal(started(flush(now, string(bad))), []work.JobID{good})
	is.Equal(len(flush(now).Entries), 0) // the record is not repeated at once
	now += refusedRecordPause
	is.Equal(started(flush(now)), []work.JobID{bad}) // its run is recorded now
	ends := []work.EndedRun{
		{Sequence: 1, Item: work.ItemID{Job: good}, Run: 1, Outcome: work.RunDone},
		{Sequence: 2, Item: work.ItemID{Job: bad}, Run: 1, Outcome: work.RunDone},
	}
	table.RenewalAnswered("i-1", work.RenewalReply{ClockMs: 2000, StartedMs: 2, Ended: ends}, 0, now, now)
	flush(now, string(bad))
	is.Equal(table.PrepareRenewal("i-1", now).AcknowledgedEnd, int64(1)) // the end of the other job is not recorded
	_, state, _ := table.Lookup(good)
	is.Equal(state, work.Completed)
	_, state, _ = table.Lookup(bad)
	is.Equal(state, work.Running)
	now += refusedRecordPause
	flush(now)
	is.Equal(table.PrepareRenewal("i-1", now).AcknowledgedEnd, int64(2))
	_, state, _ = table.Lookup(bad)
	is.Equal(state, work.Completed)
}

// TestWaveThatOutgrowsARecordIsStored guards against a holder that cannot write because the hosts of a wave that was announced again and again do not fit a record.
func TestWaveThatOutgrowsARecordIsStored(t *testing.T) {
	is := is.New(t)
	table := New(testBounds(), WithRecordLimit(40))
	wave := table.ensureWave(1)
	wave.dirty = true
	for _, name := range []string{"host-of-a-former-announcement", "host-of-this-one"} {
		wave.begun[name] = true
	}
	table.AddWave(work.Wave{Number: 1, Hosts: []string{"host-of-this-one"}}, 0)
	b, err := table.Flush(0)
	is.NoErr(err)
	is.Equal(len(b.Entries), 1)
	is.True(entrySize(b.Entries[0]) <= 40)
	var stored work.WaveProgress
	is.NoErr(work.Decode(b.Entries[0].Value, &stored))
	is.Equal(stored.Started, []string{"host-of-this-one"})
}

// TestStatisticsThatOutgrowARecordAreStored guards against a holder that cannot write because the names of many queues do not fit a record.
func TestStatisticsThatOutgrowARecordAreStored(t *testing.T) {
	is := is.New(t)
	table := New(testBounds(), WithRecordLimit(200))
	record := &work.RunStatsRecord{}
	for n := range 100 {
		record.Queues = append(record.Queues, work.QueueRunStats{Queue: "queue", Runs: float64(n)})
	}
	value, err := table.encodeRunStats(record)
	is.NoErr(err)
	is.True(1+len(statsKey)+len(value) <= 200)
	is.Equal(record.Queues[0].Runs, 99.0) // the queue with the most runs
}
