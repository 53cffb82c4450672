package sched

import (
	"testing"
	"time"

	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

// FuzzJob guards against a submission that stops the holder. Whatever the callers' interface accepts must be readable once it is stored, and planning it must end.
func FuzzJob(f *testing.F) {
	for _, seed := range []string{
		`{"spec":"s","phases":[{"count":2,"cpu":500},{"count":1,"after":[0],"gang":true}]}`,
		`{"spec":"s","phases":[{"count":4,"cpu":1}],"repeat_count":4611686018427387904}`,
		`{"spec":"s","phases":[{"count":4,"cpu":1}],"repeat_count":3,"interval_ms":0,"first_run_ms":1}`,
		`{"spec":"s","phases":[{"count":2,"cpu":1e18,"mem_mb":1e18,"estimate_ms":1e18}]}`,
		`{"spec":"s","phases":[{"count":3,"long_running":true,"max_unavailable":1,"anti_affinity":1}]}`,
		"{\"spec\":\"\xff\",\"phases\":[{\"count\":1}]}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		job, err := platform.DecodeJob(body)
		if err != nil {
			return
		}
		job.ID, job.Queue, job.Pool = "0000000000000001", "q", "p"
		value, err := work.Encode(job)
		if err != nil {
			t.Fatal(err)
		}
		var stored work.Job
		if err := work.Decode(value, &stored); err != nil {
			t.Fatalf("accepted job cannot be read: %v", err)
		}
		table := New(testBounds())
		table.Configure(&work.Config{Version: 1, Pools: []work.Pool{{Name: "p"}}, Queues: []work.Queue{{Name: "q", Pool: "p", MaxAttempts: 2, SlackFactor: 2}}})
		table.UpsertTarget(work.Target{ID: "a", Pool: "p", Address: "a", Capacity: work.Resources{CPU: 1000, MemMB: 1000}}, time.Second)
		table.RenewalAnswered("a", work.RenewalReply{ClockMs: 1}, 0, time.Second, time.Second)
		table.Accept(&stored, time.Second)
		for _, now := range []time.Duration{time.Second, time.Hour} {
			table.SetWallClock(work.MaxTimeMs, now)
			table.Plan(now)
			if _, err := table.Flush(now); err != nil {
				t.Fatal(err)
			}
		}
	})
}
