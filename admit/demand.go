package admit

import (
	"cmp"
	"slices"

	"lavenderwing.example/lavenderwing/alloc"
)

// Demands returns what each team wants at a service as far as its usable units admit, sorted by team.
func (t *Table) Demands(s ServiceID) []alloc.Demand {
	var demands []alloc.Demand
	for i, l := range t.services[s].lanes {
		if l == nil || l.running+l.waiting == 0 {
			continue
		}
		tm := &t.teams[i]
		want := l.running + min(l.waiting, max(tm.usable-tm.running, 0))
		if want > 0 {
			demands = append(demands, alloc.Demand{Team: t.teamNames.list[i], Want: want})
		}
	}
	slices.SortFunc(demands, func(a, b alloc.Demand) int { return cmp.Compare(a.Team, b.Team) })
	return demands
}

// Idle reports whether a service has no requests here.
func (t *Table) Idle(s ServiceID) bool {
	return t.services[s].running+t.services[s].waiting == 0
}

// Saturated reports whether requests wait at a service that has no free slot here.
func (t *Table) Saturated(s ServiceID) bool {
	row := &t.services[s]
	return row.waiting > 0 && len(row.free) == 0
}

// RunningOverCredit returns the slots in use beyond the credits of a service's targets.
func (t *Table) RunningOverCredit(s ServiceID) int {
	excess := 0
	for _, i := range t.services[s].targets {
		excess += max(t.targets[i].running-t.targets[i].credit, 0)
	}
	return excess
}

// Uses returns this process's part of each target of a service.
func (t *Table) Uses(s ServiceID) []alloc.TargetUsage {
	var uses []alloc.TargetUsage
	for _, i := range t.services[s].targets {
		target := &t.targets[i]
		if target.credit > 0 || target.running > 0 {
			uses = append(uses, alloc.TargetUsage{Target: target.name, Credit: target.credit, Running: target.running, Ejections: target.ejections})
		}
	}
	return uses
}

// SetCredits replaces the slots that this process may occupy at each target of a service.
func (t *Table) SetCredits(s ServiceID, credits map[string]int) {
	for _, i := range t.services[s].targets {
		t.SetCredit(i, credits[t.targets[i].name])
	}
}

// SetQuotas replaces the slots that each team should have here at a service before others; teams not named may have what the level allows.
func (t *Table) SetQuotas(s ServiceID, a alloc.Allocation) {
	row := &t.services[s]
	row.level = a.Level
	for _, l := range row.lanes {
		if l != nil {
			l.quota = t.levelQuota(row, l.team)
		}
	}
	for _, q := range a.Quotas {
		if i, ok := t.teamNames.byName[q.Team]; ok {
			t.lane(s, i).quota = q.Slots + q.Spare
		}
	}
	for _, a := range row.active {
		t.rekey(row, a.lane)
	}
}

// levelQuota returns what a team may have that its service's allocator has not heard of.
func (t *Table) levelQuota(row *service, i TeamID) int {
	return int(row.level * float64(t.teams[i].weight))
}
