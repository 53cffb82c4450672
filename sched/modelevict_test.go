package sched

import (
	"testing"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// evictModelSeeds is the number of random histories with urgent and long items.
const evictModelSeeds = 250

// modelUrgent is the part of a model in which, if enabled, urgent jobs arrive beside long checkpointing ones, which are stopped for them.
type modelUrgent struct {
	enabled bool
}

// submit makes a job urgent, or its items long and checkpointing.
func (u *modelUrgent) submit(m *model, j *work.Job) {
	if !u.enabled {
		return
	}
	if m.Intn(2) == 0 {
		j.Queue = "urgent"
		return
	}
	for n := range j.Steps {
		j.Steps[n].Checkpointing, j.Steps[n].EstimateMs, j.Steps[n].Count = true, 6000, 2+m.Intn(5)
	}
}

// runTime is how long a run of the step takes.
func (u *modelUrgent) runTime(m *model, s *work.Step) time.Duration {
	if u.enabled && s.Checkpointing {
		return m.randomDuration(3*time.Second, 8*time.Second)
	}
	return m.randomDuration(300*time.Millisecond, 1500*time.Millisecond)
}

// TestEvictedItemsRunOnce guards against items that run twice, are lost or start beyond a target's capacity because a stop for urgent work meets a crash, a cut or a takeover.
func TestEvictedItemsRunOnce(t *testing.T) {
	t.Parallel()
	evictions := 0
	runModels(t, evictModelSeeds, func(m *model) {
		m.urgent.enabled = true
		m.config.Queues = append(m.config.Queues, work.Queue{Name: "urgent", Pool: "p", MaxAttempts: 100, SlackFactor: 2, FixedSlackMs: 1500})
		m.config.Queues[0].Priority = 1
	}, func(m *model) {
		for _, h := range m.holders {
			evictions += h.table.TakeEvictions().Runs
		}
	})
	t.Logf("%d runs were stopped for urgent work", evictions)
	if evictions == 0 {
		t.Fatal("no run was stopped for urgent work")
	}
}
