package alloc

import (
	"maps"
	"slices"
	"time"
)

// free returns the slots of each target that no seat may occupy.
func (t *Allocator) free() map[string]int {
	free := maps.Clone(t.slots)
	for _, s := range t.seats {
		for target, n := range s.committed {
			free[target] -= n
		}
	}
	return free
}

// allocate brings a seat's slots towards its due number.
func (t *Allocator) allocate(s *seat, now time.Time) Allocation {
	before := maps.Clone(s.granted)
	for target, n := range s.granted {
		s.granted[target] = min(n, t.slots[target])
	}
	maps.DeleteFunc(s.granted, func(_ string, n int) bool { return n == 0 })
	for over := total(s.granted) - s.due; over > 0; over-- {
		s.granted[s.idlest()]--
	}
	if !t.warming(now) {
		t.grow(s)
	}
	for target, n := range s.granted {
		s.commit(target, n)
	}
	// An unchanged allocation keeps its sequence, so that the seat's word on the earlier one still confirms it.
	if !maps.Equal(before, s.granted) || !maps.Equal(s.sent, s.quotas) {
		s.sequence++
		s.sent = maps.Clone(s.quotas)
	}
	return t.allocation(s)
}

// grow gives free slots to the seat, each at the target with most of them.
func (t *Allocator) grow(s *seat) {
	free := t.free()
	for lack := s.due - total(s.granted); lack > 0; lack-- {
		best := ""
		for _, target := range t.layout.Targets {
			// A slot that is still committed to this seat can be given back to it at once.
			if n := free[target.Name] + s.committed[target.Name] - s.granted[target.Name]; n > 0 && (best == "" || free[target.Name] > free[best]) {
				best = target.Name
			}
		}
		if best == "" {
			return
		}
		s.granted[best]++
		if s.granted[best] > s.committed[best] {
			s.commit(best, s.granted[best])
			free[best]--
		}
	}
}

func (t *Allocator) allocation(s *seat) Allocation {
	a := Allocation{Sequence: s.sequence, Level: t.level}
	for _, target := range slices.Sorted(maps.Keys(s.granted)) {
		if s.granted[target] > 0 {
			a.Credits = append(a.Credits, Credit{Target: target, Slots: s.granted[target]})
		}
	}
	for _, team := range slices.Sorted(maps.Keys(s.demands)) {
		a.Quotas = append(a.Quotas, Quota{Team: team, Slots: s.quotas[team], Spare: t.spare[team]})
	}
	return a
}
