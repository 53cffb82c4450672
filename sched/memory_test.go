package sched

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// heapMB returns the memory that is in use after a collection.
func heapMB() int {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc >> 20)
}

// TestWaitingItemsTakeLittleMemory guards against wide jobs that are accepted one after the other and together take more memory than a process has, so that each holder is killed as it takes over: jobs whose items wait for a step before theirs, and jobs whose items could all start.
func TestWaitingItemsTakeLittleMemory(t *testing.T) {
	const jobs, width, maxMB = 220, 4990, 64
	item := work.Resources{CPU: 10, MemMB: 1}
	for name, steps := range map[string][]work.Step{
		"behind another step": {{Count: 1, Demand: item, EstimateMs: 10_000}, {Count: width, Demand: item, EstimateMs: 50, After: []int{0}}},
		"ready together":      {{Count: width, Demand: item, EstimateMs: 50}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := heapMB()
			table := New(testBounds())
			table.Configure(&work.Config{Version: 1, Pools: []work.Pool{{Name: "p"}}, Queues: []work.Queue{{Name: "q", Pool: "p", SlackFactor: 20}}})
			table.UpsertTarget(work.Target{ID: "i-1", Pool: "p", Address: "a", Capacity: work.Resources{CPU: 16_000, MemMB: 32_000}, StartedMs: 2}, time.Second)
			table.RenewalAnswered("i-1", work.RenewalReply{ClockMs: 1000, StartedMs: 2}, 0, time.Second, time.Second)
			for n := range jobs {
				j := &work.Job{ID: work.JobID(fmt.Sprintf("%016x", n)), Queue: "q", Pool: "p", Steps: steps}
				if n%2 == 0 {
					table.Accept(j, time.Second)
				} else {
					table.LoadJob(j, nil, time.Second)
				}
			}
			for n := range 5 {
				now := time.Second + time.Duration(n)*100*time.Millisecond
				table.Plan(now)
				_, err := table.Flush(now)
				is.NoErr(err)
			}
			is.True(table.CountBusyTargets() > 0)
			if used := heapMB() - before; used > maxMB {
				t.Errorf("%d jobs take %d MB, more than %d", jobs, used, maxMB)
			}
			runtime.KeepAlive(table)
		})
	}
}
