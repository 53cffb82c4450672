package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// TestExpireKeepsRunsWithoutKnownLease guards against a second run of an item: an expiry of 0 means that the lease of the target's runs is not known, and must not be taken for one that expired long ago.
func TestExpireKeepsRunsWithoutKnownLease(t *testing.T) {
	is := is.New(t)
	table := New(testBounds())
	table.Configure(&work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}}})
	table.UpsertTarget(work.Target{ID: "a", Pool: "p", Address: "a", Capacity: work.Resources{CPU: 1000, MemMB: 1000}}, 0)
	table.RenewalAnswered("a", work.RenewalReply{ClockMs: 1}, 0, 0, 0)
	table.Accept(&work.Job{ID: "0000000000000001", Queue: "q", Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: 1, MemMB: 1}}}}, 0)
	table.Plan(0)
	tgt := table.targets["a"]
	is.Equal(len(tgt.runs), 1)
	tgt.leaseExpiresAt = 0
	table.ExpireLeases(time.Hour)
	is.Equal(len(tgt.runs), 1)
}
