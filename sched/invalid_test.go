package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// TestStoredInvalidJobFails guards against a stored job that stops every holder in turn: earlier builds accepted one whose items times occurrences overflowed, and adding its occurrences never ended. The job fails instead, and the holder goes on.
func TestStoredInvalidJobFails(t *testing.T) {
	bad := []work.Job{
		{ID: "0000000000000001", Queue: "q", Occurrences: 1 << 62, Steps: []work.Step{{Count: 4}}},
		{ID: "0000000000000001", Queue: "q", Steps: []work.Step{{Count: -1}}},
		{ID: "0000000000000001", Queue: "q", Steps: []work.Step{{Count: 1, After: []int{7}}}},
	}
	for _, record := range bad {
		is := is.New(t)
		accepting, loading := New(testBounds()), New(testBounds())
		is.True(accepting.Accept(&record, time.Second))
		loading.LoadJob(&record, &work.JobProgress{Items: []work.ItemProgress{{Occurrence: 1 << 60, Run: 1, Target: "a"}}}, time.Second)
		for _, table := range []*Table{accepting, loading} {
			table.Plan(time.Second)
			b, err := table.Flush(time.Second)
			is.NoErr(err)
			table.Flushed(b)
			_, state, known := table.Lookup(record.ID)
			is.True(known)
			is.Equal(state, work.Failed)
			table.Plan(2 * time.Second) // prunes the job
		}
	}
}
