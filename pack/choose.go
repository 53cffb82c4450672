package pack

import (
	"slices"

	"lavenderwing.example/lavenderwing/work"
)

// MaxMoves is the largest number of serving items that a host may hold to be emptied. Each moved item is away from its callers for about a second, and a move takes the host out of use for almost two, so that emptying a host of more items pays off only if the pool does without it for longer than its demand can be relied on to stay low.
const MaxMoves = 2

// Step describes the items of a serving step that are on the pool's hosts.
type Step struct {
	// MaxPerHost is the largest number of the step's items on a host, 0 if the step states none; its items then stay where they are.
	MaxPerHost int
	// Unavailable is the number of the step's items that are not available.
	Unavailable int
	// Fixed steps need more of a host than room, such as a label, so that their items stay where they are.
	Fixed bool
}

// Item is a serving item on a host.
type Item struct {
	// Step is the index of the item's step in Pool.Steps.
	Step int
	Size work.Resources
}

// Host is a host of the pool with its serving items.
type Host struct {
	// Free is the host's free capacity.
	Free  work.Resources
	Items []Item
	// OtherCPU is the CPU in millicores of what else runs on the host; it ends by itself.
	OtherCPU int64
	// Receives means that the host stays in the pool and can start items, and Releasable that it may leave the pool.
	Receives   bool
	Releasable bool
}

// Pool is a pool's hosts and serving steps, and the number of hosts that it needs.
type Pool struct {
	Hosts  []Host
	Steps  []Step
	Wanted int
}

// Choose returns the index of the host to empty: the one with the fewest serving items and then the least other work among those whose serving items all fit on other hosts that have serving items. It returns false if there is none, or if the pool needs all of its hosts with serving items; hosts without any can be released as they are.
func Choose(p *Pool) (int, bool) {
	var serving []int
	for n := range p.Hosts {
		if len(p.Hosts[n].Items) > 0 {
			serving = append(serving, n)
		}
	}
	if len(serving) <= p.Wanted {
		return 0, false
	}
	slices.SortStableFunc(serving, func(a, b int) int {
		if d := len(p.Hosts[a].Items) - len(p.Hosts[b].Items); d != 0 {
			return d
		}
		return int(p.Hosts[a].OtherCPU - p.Hosts[b].OtherCPU)
	})
	for _, n := range serving {
		if len(p.Hosts[n].Items) > MaxMoves {
			break
		}
		if p.Hosts[n].Releasable && p.mayMoveAll(n) && p.fitElsewhere(n, serving) {
			return n, true
		}
	}
	return 0, false
}

// mayMoveAll reports whether each of the host's serving items may leave it. Emptying a host is never urgent, so it waits until all items of the steps are available.
func (p *Pool) mayMoveAll(host int) bool {
	for _, it := range p.Hosts[host].Items {
		s := &p.Steps[it.Step]
		if s.Fixed || s.MaxPerHost == 0 || s.Unavailable > 0 {
			return false
		}
	}
	return true
}

// fitElsewhere reports whether the host's serving items fit together on the other hosts that have serving items. Each is put on the first one with the most serving items that has room.
func (p *Pool) fitElsewhere(host int, serving []int) bool {
	type use struct {
		added work.Resources
		items []Item
	}
	used := map[int]use{}
	for _, it := range p.Hosts[host].Items {
		best := -1
		for _, n := range serving {
			h := &p.Hosts[n]
			if n == host || !h.Receives || !it.Size.Fits(h.Free.Sub(used[n].added)) || count(h.Items, it.Step)+count(used[n].items, it.Step) >= p.Steps[it.Step].MaxPerHost {
				continue
			}
			if best < 0 || len(h.Items) > len(p.Hosts[best].Items) {
				best = n
			}
		}
		if best < 0 {
			return false
		}
		u := used[best]
		used[best] = use{added: u.added.Add(it.Size), items: append(u.items, it)}
	}
	return true
}

// count counts the items of a step.
func count(items []Item, step int) int {
	n := 0
	for _, it := range items {
		if it.Step == step {
			n++
		}
	}
	return n
}
