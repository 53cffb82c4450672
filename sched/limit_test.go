package sched

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// newLimitTest returns a table with a job whose items run on a target with the identifier, with checkpoints of the given size.
func newLimitTest(id work.TargetID, items, checkpointBytes int) (*Table, *job) {
	t := New(testBounds())
	t.ensureTarget(id)
	record := &work.Job{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []work.Step{{Count: items, Checkpointing: true}}}
	t.Accept(record, 0)
	j := t.jobs[record.ID]
	for it := range j.occurrences[0].steps[0].all() {
		it.run, it.state, it.target, it.checkpoint = 1, itemOrdered, t.targets[id], strings.Repeat("c", checkpointBytes)
	}
	return t, j
}

// entrySize is the size of an entry's record, which the store limits.
func entrySize(e Entry) int { return 1 + len(e.Key) + len(e.Value) }

// readBack returns the progress of the job that the entries hold.
func readBack(is *is.I, id work.JobID, entries []Entry) *work.JobProgress {
	set := NewProgressSet()
	for n, e := range entries {
		isProgress, err := set.Add(e.Key, e.Value, int64(n))
		is.NoErr(err)
		is.True(isProgress)
	}
	return set.Job(id)
}

// TestProgressThatExceedsARecordIsStoredWithoutCheckpoints guards against an append that the store refuses for its size and that each holder repeats for ever.
func TestProgressThatExceedsARecordIsStoredWithoutCheckpoints(t *testing.T) {
	is := is.New(t)
	table, j := newLimitTest("i-0123456789", 10, 500)
	j.occurrences[0].steps[0].item(3).checkpoint += "c"
	encode := func(limit int) []Entry {
		table.recordLimit = limit
		entries, err := table.encodeProgress(j)
		is.NoErr(err)
		is.Equal(len(entries), 1)
		return entries
	}
	whole := encode(0)
	size := entrySize(whole[0])
	for _, limit := range []int{size, size + 1} {
		is.Equal(encode(limit), whole) // it fits
	}
	short := encode(size - 1)
	is.True(entrySize(short[0]) <= size-1)
	items := readBack(is, j.record.ID, short).Items
	is.Equal(len(items), 10)
	for n := range items {
		is.Equal(items[n].Checkpoint == "", n == 3) // only the longest one is left out
		is.Equal(items[n].Target, work.TargetID("i-0123456789"))
	}
}

// TestRecordsOfProgressFitTheStore guards against a job that ends each holder that records its progress, because a record outgrows the store's limit by the number of items, the names of targets, the counts or the checkpoints.
func TestRecordsOfProgressFitTheStore(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewSource(39))
	limits := []int{headBytes + maxItemBytes, headBytes + 2*maxItemBytes - 1, headBytes + 2*maxItemBytes, 10_000, 262_144}
	for n := range 200 {
		name := work.TargetID(strings.Repeat("i", 1+r.Intn(255)))
		table, j := newLimitTest(name, 1+r.Intn(work.MaxItems), r.Intn(40))
		table.recordLimit = limits[n%len(limits)]
		j.state, j.endedMs = work.Running, 1<<62
		items := slices.Collect(j.occurrences[0].steps[0].all())
		for _, it := range items {
			it.run, it.failures, it.incarnation = 1<<r.Intn(62), 1<<r.Intn(62), 1<<62
			it.crashes.Prompt, it.crashes.Explained, it.suspect, it.onTrial = 1<<r.Intn(61), 1<<r.Intn(61), true, true
		}
		items[0].checkpoint = strings.Repeat("c", r.Intn(300_000))
		entries, err := table.encodeProgress(j)
		is.NoErr(err)
		for _, e := range entries {
			is.True(entrySize(e) <= table.recordLimit) // size of a record
		}
		stored := readBack(is, j.record.ID, entries)
		is.Equal(len(stored.Items), len(items))
		for n, p := range stored.Items {
			want := items[n].progress()
			want.Checkpoint = p.Checkpoint
			is.Equal(p, want)
		}
	}
}

// TestWideJobIsStarted guards against a job that is accepted and never run, because its progress exceeds a record of the store: one that the holder accepts, one that a process has stored without it, and one that a successor finds.
func TestWideJobIsStarted(t *testing.T) {
	for name, add := range map[string]func(*Table, *work.Job){
		"accepted": func(t *Table, j *work.Job) { t.Accept(j, 0) },
		"found":    func(t *Table, j *work.Job) { t.LoadJob(j, nil, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			record := &work.Job{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 100}}}
			table := New(testBounds(), WithRecordLimit(1000))
			add(table, record)
			is.True(table.jobs[record.ID].active())
		})
	}
}

// TestOnlyChangedSectionsAreWritten guards against a wide job that is written whole with each of its ends, and against sections that stay in the store after it.
func TestOnlyChangedSectionsAreWritten(t *testing.T) {
	is := is.New(t)
	table, j := newLimitTest("i-1", 3*maxSectionItems, 0)
	keys := func() (written, removed []string) {
		table.markDirty(j)
		b, err := table.Flush(0)
		is.NoErr(err)
		table.Flushed(b)
		for _, e := range b.Entries {
			if e.Value == nil {
				removed = append(removed, e.Key)
			} else {
				written = append(written, e.Key)
			}
		}
		return written, removed
	}
	id := string(j.record.ID)
	written, _ := keys()
	is.Equal(written, []string{"part/" + id + "/1", "part/" + id + "/2", id}) // its own record comes last
	items := slices.Collect(j.occurrences[0].steps[0].all())
	items[maxSectionItems].run++
	written, _ = keys()
	is.Equal(written, []string{"part/" + id + "/1", id})
	for _, it := range items[:2*maxSectionItems] {
		it.state, it.target = itemEnded, nil
	}
	j.state = work.Failed
	written, removed := keys()
	is.Equal(written, []string{id}) // the runs of the last section go on and are stored
	is.Equal(removed, []string{"part/" + id + "/1"})
	for _, it := range items[2*maxSectionItems:] {
		it.state, it.target = itemEnded, nil
	}
	_, removed = keys()
	is.Equal(removed, []string{"part/" + id + "/2"})
}

// TestInterruptedWriteForgetsNoRun guards against items that run twice because a holder ended before it had written all records of a job: a successor that finds any first part of them knows the runs of each batch whose orders were sent, also where an earlier version has stored the job in one record.
func TestInterruptedWriteForgetsNoRun(t *testing.T) {
	is := is.New(t)
	const count = 3 * maxSectionItems
	table, j := newLimitTest("i-1", count, 0)
	whole, _ := j.progress(count)
	value, err := work.Encode(whole)
	is.NoErr(err)
	batches := [][]Entry{{{Key: string(j.record.ID), Value: value}}}
	for run := 2; run < 4; run++ {
		for it := range j.occurrences[0].steps[0].all() {
			it.run = run
		}
		entries, err := table.encodeProgress(j)
		is.NoErr(err)
		batches = append(batches, entries)
	}
	stored, offset := NewProgressSet(), int64(0)
	for run, entries := range batches {
		for _, e := range entries {
			_, err := stored.Add(e.Key, e.Value, offset)
			is.NoErr(err)
			offset++
			items := stored.Job(j.record.ID).Items
			is.Equal(len(items), count)
			least := slices.MinFunc(items, func(a, b work.ItemProgress) int { return a.Run - b.Run })
			is.True(least.Run >= run) // the runs of the batch before are known
		}
	}
}

// TestSectionsOfEndedJobsAreRemoved guards against records that stay in the store for good, because a holder ended between the writes of a job's final state and of its sections.
func TestSectionsOfEndedJobsAreRemoved(t *testing.T) {
	is := is.New(t)
	record := &work.Job{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 2 * maxSectionItems}}}
	table := New(testBounds())
	table.LoadJob(record, &work.JobProgress{State: work.Completed, Sections: []int{1}}, 0)
	b, err := table.Flush(0)
	is.NoErr(err)
	is.Equal(len(b.Entries), 2)
	is.Equal(b.Entries[0].Key, string(record.ID))
	is.Equal(b.Entries[1], Entry{Key: fmt.Sprintf("part/%s/1", record.ID)})
}
