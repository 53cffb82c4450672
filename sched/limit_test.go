package sched

import (
	"math/rand"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// newLimitTest returns a table with a job whose items run on a target, with checkpoints of the given size.
func newLimitTest(items, checkpointBytes int) (*Table, *job) {
	t := New(testBounds())
	t.ensureTarget("i-0123456789")
	record := &work.Job{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []work.Step{{Count: items, Checkpointing: true}}}
	t.Accept(record, 0)
	j := t.jobs[record.ID]
	for _, it := range j.occurrences[0].steps[0].items {
		it.run, it.state, it.target, it.checkpoint = 1, itemOrdered, t.targets["i-0123456789"], strings.Repeat("c", checkpointBytes)
	}
	return t, j
}

// TestProgressThatExceedsARecordIsStoredWithoutCheckpoints guards against an append that the store refuses for its size and that each holder repeats for ever.
func TestProgressThatExceedsARecordIsStoredWithoutCheckpoints(t *testing.T) {
	is := is.New(t)
	table, j := newLimitTest(10, 500)
	whole, err := table.encodeProgress(j)
	is.NoErr(err)
	size := 1 + len(j.record.ID) + len(whole)
	for _, limit := range []int{size, size + 1} {
		table.recordLimit = limit
		value, err := table.encodeProgress(j)
		is.NoErr(err)
		is.Equal(len(value), len(whole)) // it fits
	}
	table.recordLimit = size - 1
	value, err := table.encodeProgress(j)
	is.NoErr(err)
	is.True(1+len(j.record.ID)+len(value) <= table.MaxProgressBytes(j.record))
	var p work.JobProgress
	is.NoErr(work.Decode(value, &p))
	is.Equal(len(p.Items), 10)
	is.Equal(p.Items[0].Checkpoint, "")
	is.Equal(p.Items[0].Target, work.TargetID("i-0123456789"))
}

// TestMaxProgressBytesBoundsWhatIsStored guards against a job that is accepted although its progress may exceed a record of the store.
func TestMaxProgressBytesBoundsWhatIsStored(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewSource(39))
	for range 200 {
		table, j := newLimitTest(1+r.Intn(work.MaxItems), 0)
		j.state, j.cancelled, j.endedMs = work.Cancelled, true, 1<<42
		for _, it := range j.occurrences[0].steps[0].items {
			it.run, it.failures, it.incarnation = r.Intn(1<<16), r.Intn(100), 1<<42
			it.crashes.Prompt, it.crashes.Explained, it.suspect, it.onTrial = r.Intn(5), r.Intn(20), true, true
		}
		value, err := table.encodeProgress(j)
		is.NoErr(err)
		is.True(1+len(j.record.ID)+len(value) <= table.MaxProgressBytes(j.record))
	}
}

// TestJobWhoseProgressMayNotFitIsNotStarted guards against such a job that a process has stored without the holder.
func TestJobWhoseProgressMayNotFitIsNotStarted(t *testing.T) {
	is := is.New(t)
	record := &work.Job{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 100}}}
	table := New(testBounds())
	limit := table.MaxProgressBytes(record)
	for _, test := range []struct {
		limit    int
		setAside bool
	}{{limit, false}, {limit - 1, true}} {
		table := New(testBounds(), WithRecordLimit(test.limit))
		table.Accept(record, 0)
		is.Equal(table.jobs[record.ID].setAside, test.setAside)
	}
}
