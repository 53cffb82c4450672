package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Admission of jobs, for the load of a pool that is asked for several times what all hosts could give it: what could only be complete when it is of no use any more is refused at once, with when to come back.
const (
	// uselessAfter is how many times the time of a job may pass before its end is of no use, from the callers' own terms.
	uselessAfter = 3
	// retryLeast and retryMost bound when a refused caller should come back.
	retryLeast = time.Second
	retryMost  = 10 * time.Second
)

// Admission says whether a job is taken, and when a refused caller should come back.
type Admission struct {
	Refused bool
	RetryAfter   time.Duration
	// ExpectedWait is how long the work ahead of the job takes, Limit how long it may.
	ExpectedWait  time.Duration
	MaxWait time.Duration
}

// Admit decides on a job before it is stored. Jobs that last, wait for a time or are known are always taken.
func (t *Table) Admit(rec *work.Job, now time.Duration) Admission {
	if _, known := t.jobs[rec.ID]; known || rec.Occurrences > 0 {
		return Admission{}
	}
	q, ok := t.config.Queue(rec.Queue)
	if !ok {
		return Admission{}
	}
	j := newJob(rec, q, now)
	if j.serving {
		return Admission{}
	}
	chain := t.chainMs(j)
	a := Admission{ExpectedWait: t.backlog(q), MaxWait: uselessAfter*t.objective(j) - time.Duration(chain*float64(time.Millisecond))}
	if a.ExpectedWait > a.MaxWait {
		a.Refused = true
		a.RetryAfter = min(max(a.ExpectedWait-a.MaxWait, retryLeast), retryMost)
	}
	return a
}

// backlog is how long the hosts that the pool of the queue may get need for what waits there, by the mean run time of the queue.
func (t *Table) backlog(q *work.Queue) time.Duration {
	p, ok := t.pools[q.Pool]
	if !ok || p.cores == 0 {
		return 0
	}
	past := t.past(q.Name)
	if past.runs < learnFirst {
		return 0
	}
	hosts := max(len(p.hosts)+p.coming, p.target, 1)
	return time.Duration(float64(p.waiting) / float64(int64(hosts)*p.cores) * past.meanMs() * float64(time.Millisecond))
}
