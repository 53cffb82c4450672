package admit

import (
	"cmp"
	"slices"

	"lavenderwing.example/lavenderwing/alloc"
)

// Demands returns, sorted by team, how many slots each team could occupy at a service through this entry process within the team's usable slots.
func (t *Table) Demands(s ServiceID) []alloc.Demand {
	var demands []alloc.Demand
	for i, f := range t.services[s].flows {
		if f == nil || f.running+f.waiting == 0 {
			continue
		}
		tm := &t.teams[i]
		want := f.running + min(f.waiting, max(tm.usableSlots-tm.running, 0))
		if want > 0 {
			demands = append(demands, alloc.Demand{Team: t.teamNames.names[i], Want: want})
		}
	}
	slices.SortFunc(demands, func(a, b alloc.Demand) int { return cmp.Compare(a.Team, b.Team) })
	return demands
}

// Idle reports whether a service has no running or waiting requests in this entry process.
func (t *Table) Idle(s ServiceID) bool {
	return t.services[s].running+t.services[s].waiting == 0
}

// Saturated reports whether a service has waiting requests and no free slot in this entry process.
func (t *Table) Saturated(s ServiceID) bool {
	svc := &t.services[s]
	return svc.waiting > 0 && len(svc.freeTargets) == 0
}

// RunningOverCredit returns the number of slots in use beyond the credits of a service's targets. Requests go on running when an allocation lowers a credit.
func (t *Table) RunningOverCredit(s ServiceID) int {
	excess := 0
	for _, i := range t.services[s].targets {
		excess += max(t.targets[i].running-t.targets[i].credit, 0)
	}
	return excess
}

// Uses returns this process's credit, running requests and ejections at each target of a service, without targets that have neither credit nor running requests.
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

// SetCredits replaces the credits of all targets of a service; targets that credits does not name get none.
func (t *Table) SetCredits(s ServiceID, credits map[string]int) {
	for _, i := range t.services[s].targets {
		t.SetCredit(i, credits[t.targets[i].name])
	}
}

// SetQuotas replaces the quotas of all teams at a service. A team that the allocation does not name gets the quota that its weight gives it at the allocation's level.
func (t *Table) SetQuotas(s ServiceID, a alloc.Allocation) {
	svc := &t.services[s]
	svc.slotsPerWeight = a.Level
	for _, f := range svc.flows {
		if f != nil {
			f.quota = t.defaultQuota(svc, f.team)
		}
	}
	for _, q := range a.Quotas {
		if i, ok := t.teamNames.byName[q.Team]; ok {
			t.flow(s, i).quota = q.Slots + q.Spare
		}
	}
	for _, active := range svc.activeFlows {
		t.updateQuotaUsage(svc, active.flow)
	}
}

// defaultQuota returns the quota of a team that the service's last allocation does not name.
func (t *Table) defaultQuota(svc *service, id TeamID) int {
	return int(svc.slotsPerWeight * float64(t.teams[id].weight))
}
