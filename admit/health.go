package admit

import "time"

// RecordSuccess records that a target answered a request, and ends the probing of the target.
func (t *Table) RecordSuccess(id TargetID) {
	target := &t.targets[id]
	target.consecutiveFailures = 0
	if !target.probing {
		return
	}
	target.probing = false
	target.backoffExponent = 0
	t.updateFree(id)
	t.onHealthChange(HealthChange{Target: target.name, Change: "restored"})
}

// RecordFailure records that a target failed a request, and ejects it after several consecutive failures unless too few targets would remain.
func (t *Table) RecordFailure(id TargetID, now time.Time) {
	target := &t.targets[id]
	target.consecutiveFailures++
	if target.ejected || (target.consecutiveFailures < consecutiveFailuresToEject && !target.probing) {
		return
	}
	svc := &t.services[target.service]
	if (svc.ejected+1)*100 > len(svc.targets)*(100-minUnejectedPercent) {
		return
	}
	delay := min(minEjection<<min(target.backoffExponent, 10), maxEjection)
	target.backoffExponent++
	target.ejections++
	target.ejected = true
	target.probing = false
	target.ejectedUntil = now.Add(delay)
	svc.ejected++
	t.updateFree(id)
	t.onHealthChange(HealthChange{Target: target.name, Change: "ejected for " + delay.String()})
}

// RecordBusy records that a target refused a request because its slots were taken. It does not count as a failure.
func (t *Table) RecordBusy(id TargetID, now time.Time) {
	target := &t.targets[id]
	target.busy = true
	target.busyUntil = now.Add(busyBackoff)
	t.updateFree(id)
}
