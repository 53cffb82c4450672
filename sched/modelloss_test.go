package sched

import (
	"testing"
	"time"
)

const (
	// lossModelSeeds is the number of random histories of each variant in which targets are lost for good.
	lossModelSeeds = 50
	// modelStartBound is how long room for a waiting item that may run can stay unused, from rule 4 of docs/WORKPLAN.md.
	modelStartBound = 3 * time.Second
	// lossModelJobs is the number of jobs beyond the usual ones, so that the targets that are left have work that waits.
	lossModelJobs = 20
)

// modelLosses is the part of a model in which, if enabled, targets are lost for good one after the other until kept ones are left.
type modelLosses struct {
	enabled bool
	kept    int
	// harmless means that no item crashes its target.
	harmless bool
	// unusedSince is since when the holder has had room for a waiting item that may run, and has decided no start since.
	unusedSince time.Duration
	holder      *modelHolder
	starts      int
}

// TestWaitingWorkStartsAfterLosses guards against a queue that stands still beside targets with room, because the targets that are left of a pool after losses stay reserved for trials.
func TestWaitingWorkStartsAfterLosses(t *testing.T) {
	t.Parallel()
	for _, v := range []struct {
		name   string
		losses modelLosses
	}{
		{"one left", modelLosses{kept: 1, harmless: true}},
		{"two left", modelLosses{kept: 2, harmless: true}},
		{"one left beside deadly items", modelLosses{kept: 1}},
		{"two left beside deadly items", modelLosses{kept: 2}},
	} {
		t.Run(v.name, func(t *testing.T) {
			runModels(t, lossModelSeeds, func(m *model) {
				m.losses = v.losses
				m.losses.enabled, m.crashes.enabled = true, true
			}, func(*model) {})
		})
	}
}

// longer is how much more time the targets that are left need for all jobs.
func (c *modelLosses) longer() time.Duration {
	if c.enabled {
		return 2 * modelDeadline
	}
	return 0
}

// begin schedules the losses and the further jobs.
func (c *modelLosses) begin(m *model) {
	if !c.enabled {
		return
	}
	for range lossModelJobs {
		m.schedule(m.randomDuration(0, modelFaultPeriod), m.submit)
	}
	at := m.randomDuration(time.Second, modelFaultPeriod/2)
	for _, n := range m.Perm(modelTargets)[c.kept:] {
		m.schedule(at, func() { c.lose(m, m.targets[n]) })
		at += m.randomDuration(50*time.Millisecond, 2*time.Second)
	}
}

// lose crashes the target that is on a host now, without a successor.
func (c *modelLosses) lose(m *model, t *modelTarget) {
	for t.replacement != nil {
		t = t.replacement
	}
	m.crashes.strike(t)
	t.lost, t.alive = true, false
	clear(t.runs)
}

// check reports room for a waiting item that has been left unused for modelStartBound.
func (c *modelLosses) check(m *model) {
	if !c.enabled {
		return
	}
	h := m.holders[len(m.holders)-1]
	if starts := h.countRuns(); h != c.holder || starts != c.starts || !h.hasRoomForSome() {
		c.holder, c.starts, c.unusedSince = h, starts, m.now
		return
	}
	if m.now-c.unusedSince > modelStartBound {
		m.reportViolation("nothing has been started for %v although there is room", m.now-c.unusedSince)
	}
}

// countRuns counts the starts that the holder and those before it have decided.
func (h *modelHolder) countRuns() int {
	n := 0
	for _, j := range h.table.jobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				for it := range s.known() {
					n += it.run
				}
			}
		}
	}
	return n
}

// hasRoomForSome reports whether a waiting item that may run now fits on a target that is up and may get starts.
func (h *modelHolder) hasRoomForSome() bool {
	if !h.alive {
		return false
	}
	for _, j := range h.table.activeJobs {
		if !j.active() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.waiting > 0 && s.dependenciesDone() && h.hasRoomFor(s) {
					return true
				}
			}
		}
	}
	return false
}

func (h *modelHolder) hasRoomFor(s *step) bool {
	waits := s.touched < s.spec.Count
	for it := range s.known() {
		waits = waits || (it.state == itemWaiting && h.now >= it.notBefore && !it.checkDelayedStart(h.now))
	}
	if !waits {
		return false
	}
	for _, tgt := range h.table.targetsInPool(s.job.queue.Pool) {
		if t := h.findTarget(tgt.ID); t != nil && h.reachable(t) && tgt.available(h.now) && s.spec.Reservation().Fits(tgt.free()) {
			return true
		}
	}
	return false
}
