package sched

import (
	"fmt"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// SetAsideJob keeps a job that this program cannot handle from being started, and stops what it runs. Its state stays as it is recorded, because nothing is known against the job itself.
func (t *Table) SetAsideJob(record *work.Job, cause string, now time.Duration) {
	j, known := t.jobs[record.ID]
	if !known {
		j = &job{record: record, queue: &work.Queue{Name: record.Queue, Pool: record.Pool}, acceptedAt: now}
		t.jobs[record.ID] = j
		t.activeJobs = append(t.activeJobs, j)
	}
	j.setAside = true
	t.logEvent("setAside", string(record.ID), cause, "job")
	t.stopAllRuns(j, now)
}

// SetAsideTarget stops calling a target whose replies this program cannot handle. Its items are requeued when its lease has expired.
func (t *Table) SetAsideTarget(id work.TargetID, cause string) {
	if tgt, ok := t.targets[id]; ok {
		tgt.setAside = true
		t.logEvent("setAside", string(id), cause, "target")
	}
}

// placeStepOrSetAside places a step's items and reports whether the pool is full, see placeStep. If that fails because of a mistake in this program, it sets the job aside, so that the others are served on.
func (t *Table) placeStepOrSetAside(s *step, now time.Duration) (poolFull bool) {
	defer func() {
		if cause := recover(); cause != nil {
			t.SetAsideJob(s.job.record, fmt.Sprint("panic: ", cause), now)
		}
	}()
	return t.placeStep(s, now)
}
