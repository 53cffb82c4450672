package sched

import (
	"fmt"
	"time"

	"lavenderwing.example/lavenderwing/shed"
	"lavenderwing.example/lavenderwing/work"
)

// Admission control for a pool whose demand is several times the capacity of all hosts: a job that would complete too late to be of use is refused at once, with a time after which to retry.
const (
	// tooLateFactor is the multiple of a job's objective after which, by the callers' own terms, its result is of no use.
	tooLateFactor = 3
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller should retry.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// Admission says whether a job is accepted, and when a refused caller should retry.
type Admission struct {
	Refused    bool
	RetryAfter time.Duration
	// Reason says which work leaves no room for the job, empty if that is not known.
	Reason shed.Reason
	// ExpectedWait is the time that the work ahead of the job is expected to take, MaxWait the longest wait after which its result is still of use.
	ExpectedWait time.Duration
	MaxWait      time.Duration
}

// Admit decides on a job before it is stored; serving, scheduled and known jobs are always accepted.
func (t *Table) Admit(record *work.Job, now time.Duration) Admission {
	if _, known := t.jobs[record.ID]; known || record.Occurrences > 0 {
		return Admission{}
	}
	q, ok := t.config.Queue(record.Queue)
	if !ok {
		return Admission{}
	}
	j := newJob(record, q, now)
	if j.serving {
		return Admission{}
	}
	if t.features.Enabled(work.Shedding) {
		return t.admitByRoom(j, now)
	}
	criticalPath := t.criticalPathMs(j)
	a := Admission{ExpectedWait: t.backlogTime(q), MaxWait: tooLateFactor*t.objective(j) - time.Duration(criticalPath*float64(time.Millisecond))}
	if a.ExpectedWait > a.MaxWait {
		a.Refused = true
		a.RetryAfter = min(max(a.ExpectedWait-a.MaxWait, minRetryAfter), maxRetryAfter)
	}
	return a
}

// refusalDetail describes the refusal of a job.
func refusalDetail(j *job, a *Admission, waited time.Duration) string {
	return fmt.Sprintf("queue=%s team=%s aheadMs=%d mayWaitMs=%d returnMs=%d refusedForMs=%d", j.record.Queue, j.record.Team,
		a.ExpectedWait.Milliseconds(), a.MaxWait.Milliseconds(), a.RetryAfter.Milliseconds(), waited.Milliseconds())
}

// backlogTime is the time that the hosts of the queue's pool, present and planned, need for the waiting work, by the mean run time of each step that waits, or of the queue alone if the feature is off.
func (t *Table) backlogTime(q *work.Queue) time.Duration {
	p, ok := t.pools[q.Pool]
	if !ok || p.hostCPU == 0 {
		return 0
	}
	stats := t.ensureRunStats(q.Name)
	if stats.runs < warmUpRuns {
		return 0
	}
	hosts := max(len(p.hosts)+p.incoming, p.wantedHosts, 1)
	if t.learned != nil {
		return time.Duration(p.waitingWork / float64(int64(hosts)*p.hostCPU) * float64(time.Second))
	}
	return time.Duration(float64(p.waiting) / float64(int64(hosts)*p.hostCPU) * stats.meanMs() * float64(time.Millisecond))
}
