package admit

import "time"

// RecordSuccess records that a target answered a request as it should.
func (t *Table) RecordSuccess(i TargetID) {
	target := &t.targets[i]
	target.failures = 0
	if !target.probing {
		return
	}
	target.probing = false
	target.ejects = 0
	t.refresh(i)
	t.timeline(HealthChange{Target: target.name, Change: "restored"})
}

// RecordFailure records that a target failed a request, and ejects it after several in a row unless too few would remain.
func (t *Table) RecordFailure(i TargetID, now time.Time) {
	target := &t.targets[i]
	target.failures++
	if target.ejected || (target.failures < failuresToEject && !target.probing) {
		return
	}
	row := &t.services[target.service]
	if (row.ejected+1)*100 > len(row.targets)*(100-keptPercent) {
		return
	}
	delay := min(ejectBase<<min(target.ejects, 10), ejectMost)
	target.ejects++
	target.ejections++
	target.ejected = true
	target.probing = false
	target.until = now.Add(delay)
	row.ejected++
	t.refresh(i)
	t.timeline(HealthChange{Target: target.name, Change: "ejected for " + delay.String()})
}

// RecordBusy records that a target refused a request because its slots were taken, which says nothing about its health.
func (t *Table) RecordBusy(i TargetID, now time.Time) {
	target := &t.targets[i]
	target.busy = true
	target.busyUntil = now.Add(busyWait)
	t.refresh(i)
}
