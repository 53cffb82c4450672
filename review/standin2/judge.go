//go:build review2

package main

import (
	"fmt"
	"sync"
)

// judge checks what the executors run, by the rules that the scripts name.
type judge struct {
	rec *record

	mu sync.Mutex
	// running holds where each work item runs: the executor's id by run.
	running map[string]map[int]string
	// failed and starts count each job's runs that ended failed and that were started.
	failed map[string]int
	starts map[string]int
	// crashed counts the crashes of executors under each job's runs.
	crashed map[string]int
}

func newJudge(rec *record) *judge {
	return &judge{rec: rec, running: map[string]map[int]string{}, failed: map[string]int{}, starts: map[string]int{}, crashed: map[string]int{}}
}

func (j *judge) started(task string, n int, e *executor, o *order) {
	j.rec.add("%s run %d starts on %s (fencing token %d, spec %q)", task, n, e.id, o.Token, o.Spec)
	j.mu.Lock()
	defer j.mu.Unlock()
	for other, id := range j.running[task] {
		j.rec.violate("TWICE: %s runs as run %d on %s and as run %d on %s at the same time, both executors are up", task, other, id, n, e.id)
	}
	if j.running[task] == nil {
		j.running[task] = map[int]string{}
	}
	j.running[task][n] = e.id
	j.starts[jobOf(task)]++
}

func (j *judge) ended(task string, n int, id, how string) {
	j.rec.add("%s run %d on %s ends: %s", task, n, id, how)
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.running[task], n)
	switch how {
	case "failed":
		j.failed[jobOf(task)]++
	case lostRun:
		j.crashed[jobOf(task)]++
	}
}

func (j *judge) noted(task string, n int) { j.rec.add("end of %s run %d is acknowledged", task, n) }

func (j *judge) startCount(job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts[job]
}

// crashCount returns how many executors have crashed under a job's runs.
func (j *judge) crashCount(job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.crashed[job]
}

func (j *judge) failedCount(job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failed[job]
}

func (j *judge) where(task string) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range j.running[task] {
		return id
	}
	return ""
}

// lostRun is how a run ends whose executor crashes.
const lostRun = "lost with its executor"

func jobOf(task string) string { return task[:16] }

func itemName(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }
