package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/blame"
	"lavenderwing.example/lavenderwing/work"
)

// TestEachItemAtItsLastCrashIsGivenUp guards against an item that is started again after blame.MaxCrashes, because another one on the same target was given up in its place.
func TestEachItemAtItsLastCrashIsGivenUp(t *testing.T) {
	is := is.New(t)
	table := New(testBounds(), WithToken(1, 0))
	table.Configure(&work.Config{Version: 1, Pools: []work.Pool{{Name: "p"}}, Queues: []work.Queue{{Name: "q", Pool: "p", MaxAttempts: 9, SlackFactor: 2}}})
	table.UpsertTarget(work.Target{ID: "a", Pool: "p", Address: "a", Capacity: work.Resources{CPU: 1000, MemMB: 100}}, time.Second)
	table.RenewalAnswered("a", work.RenewalReply{ClockMs: 1}, 0, time.Second, time.Second)
	jobs := []work.JobID{"a000000000000000", "b000000000000000"}
	for _, id := range jobs {
		table.Accept(&work.Job{ID: id, Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: 100, MemMB: 1}, EstimateMs: 800}}}, time.Second)
	}
	table.Plan(time.Second)
	for _, id := range jobs {
		it := table.findItem(work.ItemID{Job: id})
		order := StartOrder{Target: "a", Start: work.StartRequest{Item: it.id, Run: 1}}
		table.PrepareStart(order, time.Second)
		table.StartAnswered(order, work.OrderReply{}, time.Second)
		it.crashes.Prompt = blame.MaxCrashes - 1
	}
	table.handleGoneTarget("a", 2*time.Second, "host has a new target", true)
	for _, id := range jobs {
		is.Equal(table.jobs[id].state, work.Failed)
	}
}
