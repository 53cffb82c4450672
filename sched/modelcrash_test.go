package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

const (
	// deadlyModelSeeds is the number of random histories with items that crash their targets.
	deadlyModelSeeds = 250
	// modelHostListInterval is how often a holder reads the host list.
	modelHostListInterval = 350 * time.Millisecond
	// crashesBeforeLimit is the number of crashes under one item after which it may be started only maxStartsAfterCrashes times more. Crashes that users do not want counted are left out: those of runs that the holder had not seen, and those that a takeover within unrecordedCrash may have left unrecorded.
	crashesBeforeLimit    = 3
	maxStartsAfterCrashes = 2
	// unrecordedCrash is the longest time from a crash to its record: a target is back within 4 s, and a write takes up to 0.3 s.
	unrecordedCrash = 4500 * time.Millisecond
)

// modelCrashes is the part of a model in which, if enabled, some items crash each target that starts them.
type modelCrashes struct {
	enabled bool
	// deadly holds the items that crash their targets, and how long after the start.
	deadly map[work.ItemID]time.Duration
	// crashed holds the times of the crashes under each of them that count, uncounted the number of the others, and startsAfter that of the starts that followed crashesBeforeLimit.
	crashed     map[work.ItemID][]time.Duration
	uncounted   map[work.ItemID]int
	startsAfter map[work.ItemID]int
	// struck counts, for each item, the targets that crashed for another cause than an item while they ran it, and beside those that another item crashed.
	struck map[work.ItemID]int
	beside map[work.ItemID]int
	// renamed counts the targets that have come back under another name.
	renamed int
}

// TestDeadlyItemIsGivenUpAndItsNeighboursAreNot guards against an item that crashes one target after the other, because a run that is lost with its target counts for nothing, and against giving up the work beside it.
func TestDeadlyItemIsGivenUpAndItsNeighboursAreNot(t *testing.T) {
	t.Parallel()
	crashes := 0
	runModels(t, deadlyModelSeeds, func(m *model) { m.crashes.enabled = true }, func(m *model) {
		for _, times := range m.crashes.crashed {
			crashes += len(times)
		}
	})
	if crashes == 0 {
		t.Fatal("no target crashed")
	}
}

func newModelCrashes() *modelCrashes {
	return &modelCrashes{deadly: map[work.ItemID]time.Duration{}, crashed: map[work.ItemID][]time.Duration{}, uncounted: map[work.ItemID]int{}, startsAfter: map[work.ItemID]int{}, struck: map[work.ItemID]int{}, beside: map[work.ItemID]int{}}
}

// submit makes one item of some jobs deadly. Most of them crash their target at once, the others only after a while.
func (c *modelCrashes) submit(m *model, j *work.Job) {
	if m.losses.harmless || m.Intn(4) > 0 {
		return
	}
	s := m.Intn(len(j.Steps))
	delay := m.randomDuration(2*time.Millisecond, 15*time.Millisecond)
	if m.Intn(4) == 0 {
		delay = m.randomDuration(100*time.Millisecond, 250*time.Millisecond)
	}
	c.deadly[work.ItemID{Job: j.ID, Step: s, Index: m.Intn(j.Steps[s].Count)}] = delay
}

// begin notes the start of an item, and crashes the target if the item is deadly.
func (c *modelCrashes) begin(m *model, t *modelTarget, id work.ItemID) {
	delay, deadly := c.deadly[id]
	if !deadly {
		return
	}
	if len(c.crashed[id]) >= crashesBeforeLimit {
		if c.startsAfter[id]++; c.startsAfter[id] > maxStartsAfterCrashes {
			m.reportViolation("%v was started %d times after %d targets had crashed under it", id, c.startsAfter[id], crashesBeforeLimit)
		}
	}
	incarnation := t.incarnation
	m.schedule(delay, func() {
		if t.alive && t.incarnation == incarnation && t.runs[id] != nil {
			c.count(m, id)
			for other := range t.runs {
				if other.Job != id.Job {
					c.beside[other]++
				}
			}
			m.crash(t)
		}
	})
}

// count counts a crash under the item if the present holder has seen the run.
func (c *modelCrashes) count(m *model, id work.ItemID) {
	h := m.holders[len(m.holders)-1]
	if it := h.table.findItem(id); it != nil && it.seen() {
		c.crashed[id] = append(c.crashed[id], m.now)
		return
	}
	c.uncounted[id]++
}

// takeOver leaves out the crashes that the former holder may not have recorded.
func (c *modelCrashes) takeOver(m *model) {
	for id, times := range c.crashed {
		c.crashed[id] = slices.DeleteFunc(times, func(at time.Duration) bool { return m.now-at < unrecordedCrash })
		c.uncounted[id] += len(times) - len(c.crashed[id])
	}
}

// replace has a crashed target's host come back with a target of another name.
func (c *modelCrashes) replace(m *model, t *modelTarget) {
	c.renamed++
	next := &modelTarget{
		id: work.TargetID(fmt.Sprintf("r%d", c.renamed)), address: t.address, cpu: t.cpu, reportedCPU: t.reportedCPU, incarnation: t.incarnation + 10, clockRate: t.clockRate,
		runs: map[work.ItemID]*modelRun{}, lastRun: map[work.ItemID]int{},
	}
	t.replacement = next
	m.targets = append(m.targets, next)
	m.schedule(m.randomDuration(100*time.Millisecond, 4*time.Second), func() { next.alive, next.startedAt = !next.lost, m.now })
}

// strike notes what ran on a target that crashes for another cause than an item.
func (c *modelCrashes) strike(t *modelTarget) {
	for id := range t.runs {
		c.struck[id]++
	}
}

// mayEnd reports whether a job may end in the state. A job fails if it has a deadly item. In a history with deadly items, another job may fail if one of its items ran on two targets that crashed, as the users' terms allow, but never if all of them were crashed by its neighbours.
func (c *modelCrashes) mayEnd(id work.JobID, state work.State) bool {
	for item := range c.deadly {
		if item.Job == id {
			return state == work.Failed
		}
	}
	if !c.enabled {
		return state == work.Completed
	}
	for item, n := range c.struck {
		if item.Job == id && n+c.beside[item] >= 2 && state == work.Failed {
			return true
		}
	}
	return state == work.Completed
}

// listHosts applies the host list, which shows a replaced target at once, and removes the entries of targets that are gone.
func (h *modelHolder) listHosts() {
	if !h.alive {
		return
	}
	var list []work.Host
	for n, t := range h.targets[:modelTargets] {
		for t.replacement != nil {
			h.table.RemoveTarget(t.id)
			t = t.replacement
		}
		state := work.HostUp
		if t.lost {
			state = work.HostDown
			h.table.RemoveTarget(t.id)
		}
		list = append(list, work.Host{Name: fmt.Sprintf("h%d", n), Pool: "p", State: state, Capacity: work.Resources{CPU: t.cpu, MemMB: 1000}, Target: t.id})
	}
	sent := h.now
	h.schedule(h.randomDuration(time.Millisecond, 100*time.Millisecond), func() {
		h.table.ApplyHostList(list, sent, h.now)
		h.schedule(modelHostListInterval, h.listHosts)
	})
}
