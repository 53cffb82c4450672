package admit

// Configure replaces the layout; rows that it no longer names keep their running requests and get no new ones.
func (t *Table) Configure(l Config) {
	for _, tl := range l.Teams {
		i, fresh := t.teamNames.of(tl.Name)
		if fresh {
			t.teams = append(t.teams, team{})
		}
		t.teams[i].weight = max(tl.Share, 1)
	}
	for i := range t.targets {
		t.targets[i].present = false
	}
	for i := range t.services {
		t.services[i].targets = nil
	}
	for _, sl := range l.Services {
		t.configureService(sl)
	}
	for i := range t.targets {
		t.refresh(TargetID(i))
	}
}

func (t *Table) configureService(sl ServiceConfig) {
	s, fresh := t.serviceNames.of(sl.Name)
	if fresh {
		t.services = append(t.services, service{name: sl.Name})
	}
	row := &t.services[s]
	row.runLimit = sl.RunLimit
	for _, tl := range sl.Targets {
		i, fresh := t.targetNames.of(tl.Name)
		if fresh {
			t.targets = append(t.targets, target{name: tl.Name, free: -1})
		}
		t.moveTarget(i, s)
		target := &t.targets[i]
		target.address = tl.Address
		target.slots = tl.Slots
		target.draining = tl.Draining
		target.present = true
		row.targets = append(row.targets, i)
	}
}

// moveTarget takes a target off its earlier service's free list when its pool changed.
func (t *Table) moveTarget(i TargetID, to ServiceID) {
	target := &t.targets[i]
	if target.service == to {
		return
	}
	t.dropFree(i)
	if target.ejected {
		t.services[target.service].ejected--
		target.ejected = false
	}
	target.service = to
}

// SetCredit sets how many slots of a target this entry process may occupy.
func (t *Table) SetCredit(i TargetID, credit int) {
	t.targets[i].credit = min(credit, t.targets[i].slots)
	t.refresh(i)
}

// SetUsableSlots sets how many slots a team may occupy through this entry process.
func (t *Table) SetUsableSlots(i TeamID, usable int) { t.teams[i].usable = usable }

// refresh puts a target on or off its service's list of free targets.
func (t *Table) refresh(i TargetID) {
	if t.targets[i].spare() > 0 {
		t.addFree(i)
		return
	}
	t.dropFree(i)
}

func (t *Table) addFree(i TargetID) {
	target := &t.targets[i]
	if target.free >= 0 {
		return
	}
	row := &t.services[target.service]
	target.free = len(row.free)
	row.free = append(row.free, i)
}

func (t *Table) dropFree(i TargetID) {
	target := &t.targets[i]
	if target.free < 0 {
		return
	}
	row := &t.services[target.service]
	last := row.free[len(row.free)-1]
	row.free[target.free] = last
	t.targets[last].free = target.free
	row.free = row.free[:len(row.free)-1]
	target.free = -1
}
