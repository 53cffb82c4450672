package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// modelRetentionLonger is by how much longer than usual a history with removals lasts, so that the jobs end, are removed and could be started again within it.
const modelRetentionLonger = 75 * time.Second

// modelRetention has the holders remove ended jobs in two steps, callers submit jobs again, and other holders take over between the steps.
type modelRetention struct {
	enabled bool
	longer  time.Duration
	// unstored holds the jobs whose own records have been removed; their progress may be left.
	unstored map[work.JobID]bool
	// expired holds what the holder that takes over leaves out as expired.
	expired *JobSet
	// takeovers and refusals count what the histories have met.
	takeovers, refusals int
}

func newModelRetention() modelRetention {
	return modelRetention{enabled: true, longer: modelRetentionLonger, unstored: map[work.JobID]bool{}, expired: NewJobSet()}
}

// load reports whether a holder that takes over loads the job; it leaves out what is removed, half removed or expired, as the agent does.
func (r *modelRetention) load(h *modelHolder, j *work.Job, p *work.JobProgress) bool {
	switch {
	case !r.enabled:
		return true
	case r.unstored[j.ID] && p == nil:
		return false
	case r.unstored[j.ID] || (p != nil && HasExpired(p, h.table.retention(), h.now.Milliseconds())):
		if !HasEnded(p) {
			h.reportViolation("%s is removed before it has ended", j.ID)
		}
		r.expired.Add(j.ID)
		return false
	}
	return true
}

// takeOver begins the sweeps of a holder that has loaded its jobs.
func (r *modelRetention) takeOver(h *modelHolder) {
	if !r.enabled {
		return
	}
	h.table.LoadExpired(r.expired)
	r.expired = NewJobSet()
	h.schedule(h.randomDuration(time.Second, 3*time.Second), func() { r.sweep(h) })
}

// sweep removes the records of some jobs. The append is rejected if another holder has fenced the topic, fails sometimes, and is sometimes the last thing that the holder does.
func (r *modelRetention) sweep(h *modelHolder) {
	if !h.alive {
		return
	}
	h.schedule(h.randomDuration(time.Second, 3*time.Second), func() { r.sweep(h) })
	ids, _ := h.table.RemovalCandidates(3, h.now)
	if len(ids) == 0 {
		return
	}
	h.schedule(h.randomDuration(10*time.Millisecond, 500*time.Millisecond), func() {
		if h.epoch < h.model.epoch {
			h.alive = false
			return
		}
		if h.Intn(5) == 0 {
			h.table.RemovalFailed(ids)
			return
		}
		for _, id := range ids {
			r.unstored[id] = true
		}
		if h.Intn(4) == 0 {
			r.takeovers++
			h.takeOver()
			return
		}
		h.table.JobRecordsRemoved(ids)
	})
}

// submitAgain repeats the submission of a job some time after the first one.
func (r *modelRetention) submitAgain(m *model, j *work.Job) {
	if !r.enabled {
		return
	}
	m.schedule(m.randomDuration(time.Second, modelDeadline+modelRetentionLonger), func() {
		h := m.holders[len(m.holders)-1]
		h.table.Resubmitted(j.ID, m.now)
		switch {
		case h.table.IsBeingRemoved(j.ID):
			r.refusals++
		case h.table.Known(j.ID) && r.unstored[j.ID]:
			m.reportViolation("%s is known and not stored", j.ID)
		case !h.table.Known(j.ID) && !r.unstored[j.ID]:
			m.reportViolation("%s is stored and not known", j.ID)
		}
	})
}

// isRemoved reports whether nothing is left of the job, or its removal is under way.
func (r *modelRetention) isRemoved(m *model, j *work.Job) bool {
	if !r.enabled {
		return false
	}
	_, left := m.store[string(j.ID)]
	return (r.unstored[j.ID] && !left) || m.holders[len(m.holders)-1].table.IsBeingRemoved(j.ID)
}

// TestRemovedJobsAreNotStartedAgain guards against ended jobs that run again, accepted jobs that are lost, and submissions that are answered for a job that is not stored, because a holder removes jobs while others take over, submissions are repeated and orders are late.
func TestRemovedJobsAreNotStartedAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	removed, takeovers, refusals := 0, 0, 0
	runModels(t, modelSeeds, func(m *model) { m.retention = newModelRetention() }, func(m *model) {
		removed += len(m.retention.unstored)
		takeovers += m.retention.takeovers
		refusals += m.retention.refusals
	})
	is.True(removed > 10*modelSeeds)  // most jobs have been removed
	is.True(takeovers > modelSeeds/2) // holders have taken over within removals
	is.True(refusals > 0)             // submissions have come within removals
}
