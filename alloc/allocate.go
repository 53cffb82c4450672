package alloc

import (
	"maps"
	"slices"
	"time"
)

// freeSlots returns the slots of each target that are committed to no process; it is negative for an overcommitted target.
func (a *Allocator) freeSlots() map[string]int {
	free := maps.Clone(a.usableSlots)
	for _, p := range a.processes {
		for target, n := range p.committedSlots {
			free[target] -= n
		}
	}
	return free
}

// allocate moves a process's granted slots towards the desired number and returns the allocation.
func (a *Allocator) allocate(p *processState, now time.Time) Allocation {
	before := maps.Clone(p.grantedSlots)
	for target, n := range p.grantedSlots {
		p.grantedSlots[target] = min(n, a.usableSlots[target])
	}
	maps.DeleteFunc(p.grantedSlots, func(_ string, n int) bool { return n == 0 })
	for over := sumSlots(p.grantedSlots) - p.desiredSlots; over > 0; over-- {
		p.grantedSlots[p.mostIdleTarget()]--
	}
	if !a.warmingUp(now) {
		a.grantFreeSlots(p)
	}
	for target, n := range p.grantedSlots {
		p.raiseCommitted(target, n)
	}
	// An unchanged allocation keeps its sequence, so that a report that confirms the earlier one still counts.
	if !maps.Equal(before, p.grantedSlots) || !maps.Equal(p.sentQuotas, p.quotas) {
		p.sequence++
		p.sentQuotas = maps.Clone(p.quotas)
	}
	return a.buildAllocation(p)
}

// grantFreeSlots grants free slots to the process, each at the target with the most free slots.
func (a *Allocator) grantFreeSlots(p *processState) {
	free := a.freeSlots()
	for missing := p.desiredSlots - sumSlots(p.grantedSlots); missing > 0; missing-- {
		best := ""
		for _, target := range a.config.Targets {
			// A slot that is still committed to this process can be granted to it again at once.
			if n := free[target.Name] + p.committedSlots[target.Name] - p.grantedSlots[target.Name]; n > 0 && (best == "" || free[target.Name] > free[best]) {
				best = target.Name
			}
		}
		if best == "" {
			return
		}
		p.grantedSlots[best]++
		if p.grantedSlots[best] > p.committedSlots[best] {
			p.raiseCommitted(best, p.grantedSlots[best])
			free[best]--
		}
	}
}

func (a *Allocator) buildAllocation(p *processState) Allocation {
	allocation := Allocation{Sequence: p.sequence, Level: a.level}
	for _, target := range slices.Sorted(maps.Keys(p.grantedSlots)) {
		if p.grantedSlots[target] > 0 {
			allocation.Credits = append(allocation.Credits, Credit{Target: target, Slots: p.grantedSlots[target]})
		}
	}
	for _, team := range slices.Sorted(maps.Keys(p.demands)) {
		allocation.Quotas = append(allocation.Quotas, Quota{Team: team, Slots: p.quotas[team], Spare: a.spareSlots[team]})
	}
	return allocation
}
