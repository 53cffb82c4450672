package agent

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
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

// TestJobWhoseProgressMayNotFitIsRefused guards against a job that is accepted and ends each holder that records its progress.
func TestJobWhoseProgressMayNotFitIsRefused(t *testing.T) {
	is := is.New(t)
	job := &work.Job{ID: "00000000000000a1", Queue: "q", Pool: "pool", Steps: []work.Step{{Count: 100}}}
	value, err := work.Encode(job)
	is.NoErr(err)
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{RecordBytes: 1000}})
	is.NoErr(err)
	reply := newHolder(a, 1).submit(mesh.Request{Kind: mesh.Submit, ID: job.ID, Job: value})
	is.Equal(reply.Outcome, mesh.TooLarge)
	is.True(strings.Contains(reply.Cause, "1000")) // it names the limit
}
