package agent

import (
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// Pace of the removal of ended jobs.
const (
	// removalInterval is the pause between two sweeps that remove ended jobs. A sweep makes a few appends, so that they are rare beside those of live jobs.
	removalInterval = 10 * time.Second
	// catchUpInterval replaces it while a backlog is left, as after an outage of the store or an upgrade.
	catchUpInterval = time.Second
	// maxRemovals bounds the jobs that one sweep removes. Their keys take some 20 kB in an append.
	maxRemovals = 1000
	// backlogLogInterval is how often a sweep that leaves a backlog is logged.
	backlogLogInterval = 30 * time.Second
)

// removeLoop removes the records of jobs whose retention is over, until the epoch ends.
func (h *Holder) removeLoop() {
	pause := removalInterval
	var loggedAt time.Duration
	for sleep(h.ctx, pause) {
		pause = removalInterval
		if h.cannotWrite() {
			// Removals give way to the records that callers wait for.
			continue
		}
		more, err := h.removeEnded()
		if err != nil {
			h.agent.log.Warn("removal of ended jobs failed", zap.Error(err))
			continue
		}
		backlog := h.reportJobs()
		if !more {
			continue
		}
		pause = catchUpInterval
		if now := h.agent.clock.Now(); loggedAt == 0 || now-loggedAt >= backlogLogInterval {
			loggedAt = now
			h.agent.log.Warn("removal of ended jobs is behind", zap.Int("backlog", backlog))
		}
	}
}

// removeEnded removes the records of some jobs whose retention is over, and reports whether there are more. Their progress follows with the table's next batch.
func (h *Holder) removeEnded() (bool, error) {
	now := h.agent.clock.Now()
	h.mu.Lock()
	h.table.PruneIdle(now)
	ids, more := h.table.RemovalCandidates(maxRemovals, now)
	h.mu.Unlock()
	if len(ids) == 0 {
		h.wakeLoop()
		return false, nil
	}
	if err := h.removeJobRecords(ids); err != nil {
		h.mu.Lock()
		h.table.RemovalFailed(ids)
		h.mu.Unlock()
		return false, err
	}
	h.agent.meters.removals.Inc(int64(len(ids)))
	h.mu.Lock()
	h.table.JobRecordsRemoved(ids)
	h.mu.Unlock()
	h.wakeLoop()
	return more, nil
}

// removeJobRecords removes the records of jobs, and of cancellations that earlier versions stored, from the jobs topic. A job may be stored twice: by the holder, and without it after a submission that got no answer.
func (h *Holder) removeJobRecords(ids []work.JobID) error {
	keys := make([]string, len(ids))
	var direct [directPartitions][]platform.Record
	for i, id := range ids {
		keys[i] = string(id)
		n := directIndex(id)
		if h.storedDirectly(id) {
			direct[n] = append(direct[n], platform.Record{Key: string(id)}, platform.Record{Key: cancelPrefix + string(id)})
		}
	}
	if err := h.intake.remove(keys); err != nil {
		return err
	}
	for n, records := range direct {
		if len(records) == 0 {
			continue
		}
		_, err := h.directRemovers[n].append(h.ctx, records)
		if _, ok := refusedKeys(err); !ok {
			h.cancel(err)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// storedDirectly reports whether a direct partition may hold a record of the job.
func (h *Holder) storedDirectly(id work.JobID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.MayBeStoredDirectly(id)
}

// reportJobs updates the metrics of the jobs that the holder knows and of the pools' forecasts, and returns the number of those whose retention is over.
func (h *Holder) reportJobs() int {
	h.mu.Lock()
	counts, backlog, forecasts, learned := h.table.CountJobs(), h.table.CountExpired(h.agent.clock.Now()), h.table.PoolForecasts(), h.table.LearnedRuns()
	h.mu.Unlock()
	for state := work.Queued; state <= work.Cancelled; state++ {
		h.agent.meters.scope.Tagged(map[string]string{"state": state.String()}).Gauge("jobs").Update(float64(counts[state]))
	}
	for pool, cpu := range forecasts {
		h.agent.meters.scope.Tagged(map[string]string{"pool": pool}).Gauge("pool_forecast").Update(cpu)
	}
	for queue, runs := range learned {
		h.agent.meters.scope.Tagged(map[string]string{"queue": queue}).Gauge("learned_runs").Update(runs)
	}
	h.agent.meters.backlog.Update(float64(backlog))
	return backlog
}

// postponeAcceptance keeps a job that was stored without the holder while records of an earlier job with its identifier are being removed, unless it is that job; the caller holds the lock.
func (h *Holder) postponeAcceptance(job *work.Job, value []byte) {
	if h.acceptedLately(job) {
		h.postponed = append(h.postponed, &submission{job: job, value: value, outcome: make(chan mesh.Outcome, 1)})
	}
}

// acceptedLately reports whether a job was accepted so lately that it cannot be one whose retention is over.
func (h *Holder) acceptedLately(job *work.Job) bool {
	age := time.Duration(time.Now().UnixMilli()-job.AcceptedMs) * time.Millisecond
	return age < sched.Retention(h.agent.settings.Bounds.StatusRetention)/2
}

// acceptPostponed stores the postponed jobs whose identifiers are free now; the caller holds the lock.
func (h *Holder) acceptPostponed() {
	kept := h.postponed[:0]
	for _, s := range h.postponed {
		if h.table.IsBeingRemoved(s.job.ID) {
			kept = append(kept, s)
			continue
		}
		h.intake.enqueue(s)
	}
	clear(h.postponed[len(kept):])
	h.postponed = kept
}
