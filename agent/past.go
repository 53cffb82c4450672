package agent

import (
	"context"
	"sync"
	"time"

	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// pastJobs collects the jobs whose retention is over while progress records and job records are read at the same time. It leaves the records of both out, so that a recovery does not hold those of all jobs that ever were.
type pastJobs struct {
	ctx       context.Context
	retention time.Duration
	nowMs     int64

	mu sync.Mutex
	// advanced signals that more progress has been read, or that the context has ended.
	advanced *sync.Cond
	jobs     *sched.JobSet
	// after is the last key of the progress topic that has been read, and done means that all have been.
	after string
	done  bool
}

func newPastJobs(ctx context.Context, retention time.Duration, nowMs int64) *pastJobs {
	p := &pastJobs{ctx: ctx, retention: retention, nowMs: nowMs, jobs: sched.NewJobSet()}
	p.advanced = sync.NewCond(&p.mu)
	context.AfterFunc(ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.advanced.Broadcast()
	})
	return p
}

// filterProgress keeps the records that are not of past jobs.
func (p *pastJobs) filterProgress(page []platform.Record, pages *platform.NewestPages) []platform.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	var kept []platform.Record
	for _, r := range page {
		if p.isPast(r) {
			p.jobs.Add(work.JobID(r.Key))
			continue
		}
		kept = append(kept, r)
	}
	p.after, p.done = pages.After(), p.done || pages.Done()
	p.advanced.Broadcast()
	return kept
}

func (p *pastJobs) isPast(r platform.Record) bool {
	if !sched.IsJobKey(r.Key) || !work.HasFinalState(r.Value) {
		return false
	}
	var progress work.JobProgress
	return work.Decode(r.Value, &progress) == nil && sched.HasExpired(&progress, p.retention, p.nowMs)
}

// filterJobs keeps the records that are not of past jobs. It waits until the progress of the page's jobs has been read, on the assumption that pages follow the order of keys. Past jobs that it keeps nevertheless are left out once all progress has been read.
func (p *pastJobs) filterJobs(page []platform.Record, pages *platform.NewestPages) []platform.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.done && p.after < pages.After() && p.ctx.Err() == nil {
		p.advanced.Wait()
	}
	var kept []platform.Record
	for _, r := range page {
		if !p.jobs.Contains(work.JobID(r.Key)) {
			kept = append(kept, r)
		}
	}
	return kept
}
