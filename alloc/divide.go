package alloc

import (
	"maps"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/share"
)

// divideSlots sets the quotas and the desired number of slots of each process, and the level and the spare slots of the teams.
//
// It ejects failing targets, divides the remaining slots max-min fairly among teams by weight, and then each team's slots
// among the processes by demand. Slots for which there is no demand are divided evenly among the processes.
// Processes are visited in the order of their seats, so that the result does not depend on the order of a map.
func (a *Allocator) divideSlots(now time.Time) {
	a.ejectOutliers(now)
	seats := slices.Sorted(maps.Keys(a.processes))
	capacity := sumSlots(a.usableSlots)
	teams := a.teamsWithDemand()
	contenders := make([]share.Contender, len(teams))
	for i, team := range teams {
		contenders[i].Weight = a.config.Weights[team]
		for _, p := range a.processes {
			contenders[i].Demand += p.demands[team]
		}
	}
	share.Divide(capacity, contenders)
	a.updateLevel(capacity, contenders, teams)
	allocated := 0
	for _, p := range a.processes {
		maps.DeleteFunc(p.quotas, func(team string, _ int) bool { return p.demands[team] == 0 })
	}
	for i, team := range teams {
		allocated += contenders[i].Allocated
		a.splitTeamSlots(team, contenders[i].Allocated, seats)
	}
	a.rotateSlots(teams, seats, now)
	for _, p := range a.processes {
		p.desiredSlots = sumSlots(p.quotas)
	}
	a.spreadUndemandedSlots(capacity-allocated, seats)
}

// updateLevel sets the level (see Allocation.Level) and the spare slots of each team (see Quota.Spare).
//
// For a team with unmet demand, (allocated+1)/weight is the number of slots per unit of weight that it would have with one
// more slot. The level is the minimum of these numbers and of the capacity. A team's spare slots are those that it could
// have at this level beyond its demand. No weight is zero, because share.Divide has raised each weight to at least one.
func (a *Allocator) updateLevel(capacity int, contenders []share.Contender, teams []string) {
	a.level = float64(capacity)
	for _, c := range contenders {
		if c.Allocated < c.Demand {
			a.level = min(a.level, float64(c.Allocated+1)/float64(c.Weight))
		}
	}
	a.spareSlots = make(map[string]int, len(teams))
	for i, team := range teams {
		a.spareSlots[team] = max(0, int(a.level*float64(contenders[i].Weight))-contenders[i].Demand)
	}
}

// teamsWithDemand returns the names of all teams with demand, sorted.
func (a *Allocator) teamsWithDemand() []string {
	set := map[string]bool{}
	for _, p := range a.processes {
		for team, want := range p.demands {
			if want > 0 {
				set[team] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// splitTeamSlots divides a team's slots among the processes with demand. It keeps as much of the earlier division as possible, because a slot that moves is unusable from when one process returns it until the other process receives it.
func (a *Allocator) splitTeamSlots(team string, slots int, seats []string) {
	kept := make([]share.Contender, len(seats))
	for i, seat := range seats {
		p := a.processes[seat]
		kept[i].Demand = min(p.quotas[team], p.demands[team])
	}
	share.Divide(slots, kept)
	extra := make([]share.Contender, len(seats))
	for i, seat := range seats {
		extra[i].Demand = a.processes[seat].demands[team] - kept[i].Allocated
		slots -= kept[i].Allocated
	}
	share.Divide(slots, extra)
	for i, seat := range seats {
		p := a.processes[seat]
		delete(p.quotas, team)
		if got := kept[i].Allocated + extra[i].Allocated; got > 0 {
			p.quotas[team] = got
		}
	}
}

// rotateSlots moves one slot of each team from the process with the most to a process with demand and none. Without this, if a team has fewer slots than processes with demand, the requests at some processes would never start.
func (a *Allocator) rotateSlots(teams, seats []string, now time.Time) {
	if now.Sub(a.rotatedAt) < rotationPeriod {
		return
	}
	a.rotatedAt = now
	a.rotations++
	for _, team := range teams {
		var donor, recipient *processState
		for i := range seats {
			p := a.processes[seats[(i+a.rotations)%len(seats)]]
			if donor == nil || p.quotas[team] > donor.quotas[team] {
				donor = p
			}
			if p.quotas[team] == 0 && p.demands[team] > 0 {
				recipient = p
			}
		}
		if recipient != nil && donor.quotas[team] > 0 {
			donor.quotas[team]--
			recipient.quotas[team]++
		}
	}
}

// spreadUndemandedSlots divides the slots for which there is no demand evenly among the processes, so that a new request finds a free slot at once.
func (a *Allocator) spreadUndemandedSlots(slots int, seats []string) {
	for i, seat := range seats {
		count := slots / len(seats)
		if i < slots%len(seats) {
			count++
		}
		a.processes[seat].desiredSlots += count
	}
}
