package agent

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/platform/stage"
	"lavenderwing.example/lavenderwing/work"
)

// TestAppendsAreSplitAtTheStoresLimit guards against an append that the store refuses for its size and that is repeated for ever.
func TestAppendsAreSplitAtTheStoresLimit(t *testing.T) {
	is := is.New(t)
	record := func(bytes int) platform.Record {
		return platform.Record{Key: "k", Value: []byte(strings.Repeat("v", bytes-platform.Record{Key: "k"}.Bytes()))}
	}
	for _, test := range []struct {
		name  string
		sizes []int
		limit int
		want  []int
	}{
		{"no limit", []int{10, 10, 10}, 0, []int{3}},
		{"none", nil, 20, []int{0}},
		{"just fits", []int{10, 10}, 20, []int{2}},
		{"a byte too many", []int{10, 11}, 20, []int{1, 1}},
		{"several", []int{10, 10, 10, 10, 10}, 20, []int{2, 2, 1}},
		{"one beyond the limit", []int{30, 10}, 20, []int{1, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var rest []platform.Record
			for _, size := range test.sizes {
				rest = append(rest, record(size))
			}
			var got []int
			for again := true; again; again = len(rest) > 0 {
				var first []platform.Record
				first, rest = splitRecords(rest, test.limit)
				got = append(got, len(first))
			}
			is.Equal(got, test.want)
		})
	}
}

// newLimitHolder returns a holder whose store, the platform's stand-in, refuses the records under a key.
func newLimitHolder(t *testing.T, is *is.I, refused string) (*Holder, *stage.Platform) {
	p, err := stage.New(fake.LoopbackAddresses(2), "pool", 0, work.Resources{})
	is.NoErr(err)
	t.Cleanup(p.Close)
	p.Store.RefuseKey(refused)
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{Address: p.Store.Address, RecordBytes: 1000, RequestBytes: 10_000}})
	is.NoErr(err)
	return newHolder(a, 1), p
}

// TestRefusedRecordDoesNotHoldUpTheOthers guards against a record that the store refuses for what it contains, and that is repeated unchanged for ever while nothing else is written.
func TestRefusedRecordDoesNotHoldUpTheOthers(t *testing.T) {
	is := is.New(t)
	h, p := newLimitHolder(t, is, "bad")
	var records []platform.Record
	for _, key := range []string{"a", "b", "bad", "c", strings.Repeat("k", 300), "d"} {
		records = append(records, platform.Record{Key: key, Value: []byte("v")})
	}
	_, err := h.progress.append(context.Background(), records)
	var refused *RefusedRecordsError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Keys, []string{"bad", strings.Repeat("k", 300)})
	for _, key := range []string{"a", "b", "c", "d"} {
		is.Equal(string(p.Store.Get(progressTopic, key)), "v")
	}
	is.Equal(h.progress.failingFor(), time.Duration(0)) // the holder can write
	_, err = h.progress.append(context.Background(), records[:1])
	is.NoErr(err)
}

// TestRefusedJobIsAnsweredAtOnce guards against submissions that wait, and a holder that is replaced, because the store refuses the record of one job.
func TestRefusedJobIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	h, _ := newLimitHolder(t, is, "00000000000000a2")
	h.ready.Store(true)
	go h.intake.run()
	defer h.cancel(nil)
	for id, want := range map[work.JobID]mesh.Outcome{"00000000000000a1": mesh.Answered, "00000000000000a2": mesh.TooLarge, "00000000000000a3": mesh.Answered} {
		job := &work.Job{ID: id, Queue: "q", Pool: "pool", Steps: []work.Step{{Count: 100}}} // its progress may exceed a record
		value, err := work.Encode(job)
		is.NoErr(err)
		is.Equal(h.submit(mesh.Request{Kind: mesh.Submit, ID: id, Job: value}).Outcome, want)
		is.Equal(h.table.Known(id), want == mesh.Answered)
	}
}

// TestWideJobStoredWithoutAHolderRuns guards against a job that only the holder's own path to the store refuses: stored by another process while nobody held, it is accepted, read by the holder and run.
func TestWideJobStoredWithoutAHolderRuns(t *testing.T) {
	is := is.New(t)
	h, _ := newLimitHolder(t, is, "")
	job := &work.Job{ID: "00000000000000a1", Queue: "q", Pool: "pool", Steps: []work.Step{{Count: 100}}, AcceptedMs: time.Now().UnixMilli()}
	value, err := work.Encode(job)
	is.NoErr(err)
	h.applyDirect(platform.Record{Key: string(job.ID), Value: value})
	_, state, known := h.table.Lookup(job.ID)
	is.True(known)
	is.Equal(state, work.Queued)
	is.Equal(h.table.CountPendingJobs("q"), 1) // it waits to be started
}
