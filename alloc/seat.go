package alloc

import (
	"maps"
	"slices"
	"time"
)

// seat is one entry process as the allocator of a service sees it.
type seat struct {
	name        string
	incarnation string
	heard       time.Time
	sequence    uint64
	number      uint64
	demands     map[string]int
	running     map[string]int
	// granted is the newest allocation by target.
	granted map[string]int
	// committed is the most slots that the seat may occupy at each target until it confirms less.
	committed map[string]int
	quotas    map[string]int
	// sent is the quotas of the newest allocation.
	sent map[string]int
	// due is the number of slots that the seat should have now.
	due int
}

// adopt takes over the allocation that the seat says it has.
func (s *seat) adopt(r Report) {
	s.sequence = r.Applied
	s.granted = map[string]int{}
	for _, u := range r.Uses {
		s.granted[u.Target] = u.Credit
	}
}

// commit raises what the seat may occupy at a target.
func (s *seat) commit(target string, n int) {
	if s.committed == nil {
		s.committed = map[string]int{}
	}
	s.committed[target] = max(s.committed[target], n)
}

// idlest returns the target where the seat has most slots that it does not use.
func (s *seat) idlest() string {
	best := ""
	for _, target := range slices.Sorted(maps.Keys(s.granted)) {
		if s.granted[target] > 0 && (best == "" || s.granted[target]-s.running[target] > s.granted[best]-s.running[best]) {
			best = target
		}
	}
	return best
}

func total(slots map[string]int) int {
	sum := 0
	for _, n := range slots {
		sum += n
	}
	return sum
}
