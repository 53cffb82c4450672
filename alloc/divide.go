package alloc

import (
	"maps"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/share"
)

// divideSlots sets the quotas and the number of desired slots of each process. It divides the slots max-min fairly among teams by weight, then each team's among processes by demand.
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
	a.spreadIdleSlots(capacity-allocated, seats)
}

// updateLevel sets the level to the lowest number of slots per weight that a team with unmet demand would have with one more slot, or to the capacity if all demand is met. It also sets the spare slots that each team could have at that level.
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

// splitTeamSlots divides a team's slots among the processes with demand. It keeps as much of the earlier division as possible, because a slot is idle while it moves.
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

// rotateSlots moves one slot of each team from the process with the most to a process with none, so that no process's requests starve.
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

// spreadIdleSlots divides slots without demand evenly among the processes, so that a new request finds one at once.
func (a *Allocator) spreadIdleSlots(slots int, seats []string) {
	for i, seat := range seats {
		count := slots / len(seats)
		if i < slots%len(seats) {
			count++
		}
		a.processes[seat].desiredSlots += count
	}
}
