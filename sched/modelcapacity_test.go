package sched

import (
	"testing"
	"time"
)

const (
	// capacityModelSeeds is the number of random histories with capacities that change.
	capacityModelSeeds = 250
	// modelBeat is how often a target reports its capacity, and capacityGrace how long after a reduction the larger one still counts.
	modelBeat     = 1500 * time.Millisecond
	modelContact  = 3 * time.Second
	capacityGrace = modelContact + modelBeat
	// maxReportAge is how long the store keeps the entry of a target that reports nothing.
	maxReportAge = 3 * modelBeat
	// slowFlushShare is the inverse share of the writes to a slow store that take seconds.
	slowFlushShare = 10
)

// modelCapacity is the part of a model in which, if enabled, the capacities of targets change and the store is slow at times.
type modelCapacity struct {
	enabled bool
}

// pastCapacity is a capacity that a target had until a time.
type pastCapacity struct {
	until time.Duration
	cpu   int64
}

// TestShrunkCapacityIsNotExceeded guards against starts on a target that has shrunk since they were planned, because the store took long to record them or the target did not answer.
func TestShrunkCapacityIsNotExceeded(t *testing.T) {
	t.Parallel()
	runModels(t, capacityModelSeeds, func(m *model) { m.capacity.enabled = true }, func(*model) {})
}

// begin lets each target change its capacity and report it at its beats.
func (c *modelCapacity) begin(m *model) {
	if !c.enabled {
		return
	}
	for _, t := range m.targets {
		c.change(m, t, t.cpu)
		c.beat(m, t)
	}
}

// change shrinks the target to a part of its capacity for some time, again and again while faults are injected.
func (c *modelCapacity) change(m *model, t *modelTarget, full int64) {
	if m.now > modelFaultPeriod {
		return
	}
	m.schedule(m.randomDuration(500*time.Millisecond, 6*time.Second), func() {
		c.set(m, t, full*int64(m.Intn(3))/4)
		m.schedule(m.randomDuration(2*time.Second, 9*time.Second), func() {
			c.set(m, t, full)
			c.change(m, t, full)
		})
	})
}

func (c *modelCapacity) set(m *model, t *modelTarget, cpu int64) {
	t.pastCPU = append(t.pastCPU, pastCapacity{until: m.now, cpu: t.cpu})
	t.cpu = cpu
}

// beat reports the target's capacity to the store, if the target reaches it.
func (c *modelCapacity) beat(m *model, t *modelTarget) {
	if t.alive && !t.partitioned {
		t.reportedCPU = t.cpu
		t.reports++
		t.lastReportAt = m.now
	}
	m.schedule(modelBeat, func() { c.beat(m, t) })
}

// hasNews reports whether the holder has yet to read the target's last report. Without changing capacities, targets report all the time.
func (c *modelCapacity) hasNews(h *modelHolder, t *modelTarget) bool {
	if !c.enabled {
		return true
	}
	if h.now-t.lastReportAt > maxReportAge {
		h.table.RemoveTarget(t.id)
		return false
	}
	news := h.reportsRead[t] < t.reports
	h.reportsRead[t] = t.reports
	return news
}

// allowedCPU is the most that a start may bring the target to: its capacity, or a larger one that it had within capacityGrace before the start was carried out or, if that was late, sent.
func (t *modelTarget) allowedCPU(now time.Duration) int64 {
	allowed, since := t.cpu, now
	if t.lateOrderSentAt > 0 {
		since = t.lateOrderSentAt
	}
	for _, past := range t.pastCPU {
		if since-past.until < capacityGrace {
			allowed = max(allowed, past.cpu)
		}
	}
	return allowed
}

// flushDelay is how long a write to the store takes.
func (c *modelCapacity) flushDelay(m *model) time.Duration {
	if c.enabled && m.now < modelFaultPeriod && m.Intn(slowFlushShare) == 0 {
		return m.randomDuration(2*time.Second, 7*time.Second)
	}
	return m.randomDuration(3*time.Millisecond, 300*time.Millisecond)
}
