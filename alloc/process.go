package alloc

import (
	"maps"
	"slices"
	"time"
)

// processState is the allocator's view of one entry process.
type processState struct {
	seat             string
	incarnation      string
	lastReportAt     time.Time
	sequence         uint64
	lastReportNumber uint64
	demands          map[string]int
	running          map[string]int
	// grantedSlots holds the slots of the newest allocation by target.
	grantedSlots map[string]int
	// committedSlots holds the most slots that the process may occupy at each target until it confirms a smaller allocation.
	committedSlots map[string]int
	quotas         map[string]int
	// sentQuotas holds the quotas of the newest allocation.
	sentQuotas map[string]int
	// desiredSlots is the number of slots that the process should have by the last division.
	desiredSlots int
}

// adoptReported replaces the sequence and the granted slots with those of the allocation that the process reports as in use.
func (p *processState) adoptReported(r Report) {
	p.sequence = r.Applied
	p.grantedSlots = map[string]int{}
	for _, u := range r.Uses {
		p.grantedSlots[u.Target] = u.Credit
	}
}

// raiseCommitted raises the committed slots of a target to at least n.
func (p *processState) raiseCommitted(target string, n int) {
	if p.committedSlots == nil {
		p.committedSlots = map[string]int{}
	}
	p.committedSlots[target] = max(p.committedSlots[target], n)
}

// mostIdleTarget returns the target with the most granted slots that the process does not use.
func (p *processState) mostIdleTarget() string {
	best := ""
	for _, target := range slices.Sorted(maps.Keys(p.grantedSlots)) {
		if p.grantedSlots[target] > 0 && (best == "" || p.grantedSlots[target]-p.running[target] > p.grantedSlots[best]-p.running[best]) {
			best = target
		}
	}
	return best
}

func sumSlots(slots map[string]int) int {
	sum := 0
	for _, n := range slots {
		sum += n
	}
	return sum
}
