package admit

// Configure replaces the configuration. Targets that it no longer names keep their running requests and get no new ones.
func (t *Table) Configure(c Config) {
	for _, tc := range c.Teams {
		i, added := t.teamNames.intern(tc.Name)
		if added {
			t.teams = append(t.teams, team{})
		}
		t.teams[i].weight = max(tc.Share, 1)
	}
	for i := range t.targets {
		t.targets[i].configured = false
	}
	for i := range t.services {
		t.services[i].targets = nil
	}
	for _, sc := range c.Services {
		t.configureService(sc)
	}
	for i := range t.targets {
		t.updateFree(TargetID(i))
	}
}

func (t *Table) configureService(sc ServiceConfig) {
	s, added := t.serviceNames.intern(sc.Name)
	if added {
		t.services = append(t.services, service{name: sc.Name})
	}
	svc := &t.services[s]
	svc.runLimit = sc.RunLimit
	for _, tc := range sc.Targets {
		i, added := t.targetNames.intern(tc.Name)
		if added {
			t.targets = append(t.targets, target{name: tc.Name, freeIndex: -1})
		}
		t.moveTarget(i, s)
		target := &t.targets[i]
		target.address = tc.Address
		target.slots = tc.Slots
		target.draining = tc.Draining
		target.configured = true
		svc.targets = append(svc.targets, i)
	}
}

// moveTarget moves a target to the given service if it belongs to another one, and ends its ejection in that case.
func (t *Table) moveTarget(id TargetID, to ServiceID) {
	target := &t.targets[id]
	if target.service == to {
		return
	}
	t.removeFree(id)
	if target.ejected {
		t.services[target.service].ejected--
		target.ejected = false
	}
	target.service = to
}

// SetCredit sets how many slots of a target this entry process may occupy.
func (t *Table) SetCredit(id TargetID, credit int) {
	t.targets[id].credit = min(credit, t.targets[id].slots)
	t.updateFree(id)
}

// SetUsableSlots sets how many slots a team may occupy through this entry process.
func (t *Table) SetUsableSlots(id TeamID, usable int) { t.teams[id].usableSlots = usable }

// updateFree adds a target to its service's free targets or removes it, depending on whether it has a free slot.
func (t *Table) updateFree(id TargetID) {
	if t.targets[id].freeSlots() > 0 {
		t.addFree(id)
		return
	}
	t.removeFree(id)
}

func (t *Table) addFree(id TargetID) {
	target := &t.targets[id]
	if target.freeIndex >= 0 {
		return
	}
	svc := &t.services[target.service]
	target.freeIndex = len(svc.freeTargets)
	svc.freeTargets = append(svc.freeTargets, id)
}

func (t *Table) removeFree(id TargetID) {
	target := &t.targets[id]
	if target.freeIndex < 0 {
		return
	}
	svc := &t.services[target.service]
	last := svc.freeTargets[len(svc.freeTargets)-1]
	svc.freeTargets[target.freeIndex] = last
	t.targets[last].freeIndex = target.freeIndex
	svc.freeTargets = svc.freeTargets[:len(svc.freeTargets)-1]
	target.freeIndex = -1
}
