package sched

import (
	"maps"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// heldEntry is the latest entry of a target whose pool the configuration does not name.
type heldEntry struct {
	work.Target
	// replaced means that a later entry with a named pool has replaced this one, which is kept so that a repetition is not logged again.
	replaced bool
}

// namedPools returns the pools that the configuration names, by themselves or for a queue.
func namedPools(c *work.Config) map[string]bool {
	names := make(map[string]bool, len(c.Pools))
	for i := range c.Pools {
		names[c.Pools[i].Name] = true
	}
	for i := range c.Queues {
		names[c.Queues[i].Pool] = true
	}
	return names
}

// namesTarget reports whether an entry names a target to use. One whose pool the configuration does not name may come from another writer, or be ahead of the configuration. A listed target stays in its pool if a later configuration no longer names it.
func (t *Table) namesTarget(w *work.Target) bool {
	tgt, known := t.targets[w.ID]
	return t.poolNames[w.Pool] || (known && tgt.listed && tgt.Pool == w.Pool)
}

// holdEntry keeps an entry until the configuration names its pool. The target stays as it was, and so does the one that has the address.
func (t *Table) holdEntry(w work.Target) {
	if former, known := t.heldEntries[w.ID]; !known || former.Pool != w.Pool {
		t.logEvent("unnamedPool", string(w.ID), "the configuration does not name the pool", w.Pool)
	}
	t.heldEntries[w.ID] = heldEntry{Target: w}
}

// replaceHeldEntry notes that the target has a later entry than the one that is held.
func (t *Table) replaceHeldEntry(id work.TargetID) {
	if held, known := t.heldEntries[id]; known && !held.replaced {
		held.replaced = true
		t.heldEntries[id] = held
	}
}

// applyHeldEntries applies the held entries whose pools a later configuration names.
func (t *Table) applyHeldEntries(now time.Duration) {
	if !t.poolsRenamed {
		return
	}
	t.poolsRenamed = false
	for _, id := range slices.Sorted(maps.Keys(t.heldEntries)) {
		held := t.heldEntries[id]
		if !t.poolNames[held.Pool] {
			continue
		}
		delete(t.heldEntries, id)
		if !held.replaced {
			t.UpsertTarget(held.Target, now)
		}
	}
}

// RemoveUnlisted removes the targets that a complete list does not contain.
func (t *Table) RemoveUnlisted(listed map[work.TargetID]bool) {
	for _, tgt := range t.Targets() {
		if !listed[tgt.ID] {
			t.RemoveTarget(tgt.ID)
		}
	}
	maps.DeleteFunc(t.heldEntries, func(id work.TargetID, _ heldEntry) bool { return !listed[id] })
	for id := range t.disputed {
		if !listed[id] {
			t.endDispute(id)
		}
	}
}
