package sched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Evacuations of zones by operators: no target of an evacuated zone gets a start, its serving items leave while there is room elsewhere, and its hosts do not count for their pools.

const (
	// evacuationDelivery is how long a start may take from its last check to its target: three attempts of 400 ms each.
	evacuationDelivery = 1200 * time.Millisecond
	// minEvacuationReadAge is the least age of the last read of the operators' records up to which starts are sent; it is two long polls, so that a tight bound of a site does not stop all starts.
	minEvacuationReadAge = 2 * time.Second
)

// evacuation is an evacuated zone.
type evacuation struct {
	// since is when this holder learned of it.
	since time.Duration
	// done means that it has been logged that nothing runs in the zone any more.
	done bool
}

// SetEvacuated sets the zones that operators have evacuated and reports whether they have changed. Targets of a zone that is no longer among them are usable at once.
func (t *Table) SetEvacuated(zones []string, now time.Duration) bool {
	changed := false
	for _, zone := range zones {
		if _, known := t.evacuations[zone]; !known {
			t.evacuations[zone] = &evacuation{since: now}
			t.logEvent("evacuationBegan", zone, "operators", t.describeEvacuation(zone, now))
			changed = true
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(t.evacuations)) {
		if !slices.Contains(zones, zone) {
			t.logEvent("evacuationEnded", zone, "operators", t.describeEvacuation(zone, now))
			delete(t.evacuations, zone)
			changed = true
		}
	}
	if changed {
		t.markEvacuated()
	}
	return changed
}

// ConfirmOperatorRecords notes that everything that operators had written by the given time is known.
func (t *Table) ConfirmOperatorRecords(at time.Duration) {
	t.operatorsReadAt = max(t.operatorsReadAt, at)
}

// knowsEvacuations reports whether the operators' records were read so lately that a start sent now cannot reach a zone later than work.Bounds.EvacuationApply after the confirmation of an evacuation that is not known here.
func (t *Table) knowsEvacuations(now time.Duration) bool {
	bound := t.bounds.EvacuationApply
	return bound == 0 || now-t.operatorsReadAt <= max(bound-evacuationDelivery, minEvacuationReadAge)
}

// reportSuspension logs when starts are suspended because the operators' records cannot be read, and when they are not any more.
func (t *Table) reportSuspension(now time.Duration) {
	suspended := !t.knowsEvacuations(now)
	if suspended == t.startsSuspended {
		return
	}
	t.startsSuspended = suspended
	kind := "startsResumed"
	if suspended {
		kind = "startsSuspended"
	}
	t.logEvent(kind, "starts", "operators' records", fmt.Sprintf("readAgoMs=%d", (now-t.operatorsReadAt).Milliseconds()))
}

func (t *Table) isEvacuated(zone string) bool {
	_, evacuated := t.evacuations[zone]
	return evacuated
}

// zone returns the target's zone by its own entry or, if that names none, by the host list.
func (t *target) zone() string {
	if t.Zone != "" {
		return t.Zone
	}
	return t.hostZone
}

// findHostZone returns the zone of the target's host by the last host list, empty if it is not known.
func (t *Table) findHostZone(id work.TargetID) string {
	for _, h := range t.sortedHosts {
		if h.Target == id {
			return h.Zone
		}
	}
	return ""
}

// isHostEvacuated reports whether the host's zone is evacuated.
func (t *Table) isHostEvacuated(h *host) bool {
	if len(t.evacuations) == 0 {
		return false
	}
	if tgt, ok := t.targets[h.Target]; ok && tgt.evacuated {
		return true
	}
	return t.isEvacuated(h.Zone)
}

// markEvacuated marks the targets whose zones are evacuated.
func (t *Table) markEvacuated() {
	for _, tgt := range t.sortedTargets {
		tgt.evacuated = len(t.evacuations) > 0 && t.isEvacuated(tgt.zone())
	}
}

// zoneLoad is what a zone's targets run.
type zoneLoad struct{ targets, runs, serving int }

// describeEvacuation returns the detail of an event about an evacuated zone.
func (t *Table) describeEvacuation(zone string, now time.Duration) string {
	l := t.zoneLoad(zone)
	return fmt.Sprintf("targets=%d runs=%d serving=%d tookMs=%d", l.targets, l.runs, l.serving, (now - t.evacuations[zone].since).Milliseconds())
}

func (t *Table) zoneLoad(zone string) zoneLoad {
	var l zoneLoad
	for _, tgt := range t.sortedTargets {
		if (!tgt.listed && len(tgt.runs) == 0) || tgt.zone() != zone {
			continue
		}
		l.targets++
		l.runs += len(tgt.runs)
		for _, it := range tgt.runs {
			if it.step.spec.Serving {
				l.serving++
			}
		}
	}
	return l
}

// evacuateZones evicts the serving items of evacuated zones, one by one within their steps' disruption budgets, and logs the zones in which nothing runs any more. An item for which no other target has room stays.
func (t *Table) evacuateZones(now time.Duration) {
	for _, s := range t.strandedSteps {
		s.stranded = 0
	}
	former := t.strandedSteps
	t.strandedSteps = nil
	if len(t.evacuations) > 0 {
		if !t.startsSuspended {
			t.evictFromZones(now)
		}
		t.reportEvacuated(now)
	}
	for _, s := range former {
		if s.stranded == 0 {
			s.strandedSince = 0
		}
	}
}

// evictFromZones evicts serving items of evacuated zones. Each one claims its room on another target until the end of this call, after those that have left their targets or are about to, so that no two items are evicted for the same room.
func (t *Table) evictFromZones(now time.Duration) {
	claims := roomClaims{table: t, full: map[string]work.Resources{}}
	defer claims.release()
	for _, it := range t.leavingItems() {
		claims.claim(it, now)
	}
	for _, tgt := range t.sortedTargets {
		// Other targets' items leave by evacuate.
		if !tgt.evacuated || tgt.Draining || tgt.cordoned || tgt.unreachable {
			continue
		}
		for _, it := range slices.Clone(tgt.runs) {
			if !it.step.spec.Serving || it.stopping || !it.confirmed || it.suspect || !it.step.job.active() || !t.mayEvictOne(it.step, now) {
				continue
			}
			if !claims.claim(it, now) {
				t.strand(it.step, now)
				continue
			}
			t.logEvent("evacuated", it.id.String(), string(tgt.ID), "zone="+tgt.zone())
			t.orderStop(it, now)
		}
	}
}

// strand counts an item that has no room elsewhere, so that its pool gets hosts for it.
func (t *Table) strand(s *step, now time.Duration) {
	if s.needsAdvice() {
		t.requestAdvice(s, now)
		return
	}
	if s.stranded == 0 {
		t.strandedSteps = append(t.strandedSteps, s)
	}
	s.stranded++
	if s.strandedSince == 0 {
		s.strandedSince = now
	}
}

// leavingItems returns the serving items that are being stopped or wait for their next run.
func (t *Table) leavingItems() []*item {
	var list []*item
	for _, j := range t.activeJobs {
		if !j.active() || !j.serving {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !s.spec.Serving || s.unfinished == 0 || !s.dependenciesDone() {
					continue
				}
				for it := range s.all() {
					if it.state == itemWaiting || (it.state == itemOrdered && it.stopping) {
						list = append(list, it)
					}
				}
			}
		}
	}
	return list
}

// roomClaims charges items to the targets on which they could run next, for as long as it is decided which items may leave.
type roomClaims struct {
	table *Table
	items []*item
	at    []*target
	// full holds, for each pool, the reservation of an item that found no room although any target of the pool would do.
	full map[string]work.Resources
}

// claim charges the item to the target on which it would be placed, and reports whether there is one.
func (c *roomClaims) claim(it *item, now time.Duration) bool {
	s := it.step
	pool, charge := s.job.queue.Pool, s.spec.Reservation()
	if full, ok := c.full[pool]; ok && full.Fits(charge) {
		return false
	}
	tgt := c.table.pickTarget(it, now)
	if tgt == nil {
		if !s.needsAdvice() && s.spec.RequiredLabel == "" && s.spec.MaxPerTarget == 0 {
			c.full[pool] = charge
		}
		return false
	}
	tgt.charge(it)
	c.items, c.at = append(c.items, it), append(c.at, tgt)
	return true
}

// release undoes all charges.
func (c *roomClaims) release() {
	for n, it := range c.items {
		c.at[n].release(it)
	}
}

// reportEvacuated logs the evacuated zones in which nothing runs any more. While the zone of a target with runs is unknown, as after a takeover, none is.
func (t *Table) reportEvacuated(now time.Duration) {
	for _, tgt := range t.sortedTargets {
		if len(tgt.runs) > 0 && tgt.zone() == "" {
			return
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(t.evacuations)) {
		e, done := t.evacuations[zone], t.zoneLoad(zone).runs == 0
		if done && !e.done {
			t.logEvent("evacuationDone", zone, "nothing runs there any more", t.describeEvacuation(zone, now))
		}
		e.done = done
	}
}

// cancelEvacuatedMoves cancels moves of hosts of evacuated zones into pools in which they would be of no use, as long as their orders have not been issued.
func (t *Table) cancelEvacuatedMoves() {
	if len(t.evacuations) == 0 {
		return
	}
	for _, h := range t.sortedHosts {
		if o := h.order; t.isHeldBack(h) && o.stage == stageDraining && !o.maybeExecuted {
			h.order = nil
			t.setCordoned(h, false)
		}
	}
}

// isHeldBack reports whether the host's order would move it into a pool, other than the standby pool, while its zone is evacuated.
func (t *Table) isHeldBack(h *host) bool {
	o := h.order
	if o == nil || o.Wave > 0 || !t.isHostEvacuated(h) {
		return false
	}
	pool, ok := t.config.Pool(o.Pool)
	return !ok || !pool.Standby
}

// releaseEvacuatedHosts moves the idle hosts of evacuated zones into the standby pool.
func (t *Table) releaseEvacuatedHosts(standby string, now time.Duration) {
	if len(t.evacuations) == 0 {
		return
	}
	for _, h := range t.sortedHosts {
		if h.order != nil || h.State != work.HostUp || h.Pool == standby || t.pools[h.Pool] == nil || !t.isHostEvacuated(h) || !t.isIdleFor(h, surplusDelay, now) || !t.mayOrder(h, now) {
			continue
		}
		t.beginMove(h, standby, now)
		if h.order != nil {
			t.logEvent("released", h.Name, h.Pool, "zone="+t.hostZone(h))
		}
	}
}

// hostZone returns the host's zone by the host list or, if that names none, by its target's entry.
func (t *Table) hostZone(h *host) string {
	if tgt, ok := t.targets[h.Target]; ok && h.Zone == "" {
		return tgt.Zone
	}
	return h.Zone
}

// isIdleFor reports whether nothing has run on the host for the given time, as far as this holder and the target know.
func (t *Table) isIdleFor(h *host, length, now time.Duration) bool {
	if h.idleSince == 0 || now-h.idleSince < length {
		return false
	}
	tgt, ok := t.targets[h.Target]
	return !ok || (!tgt.Draining && len(tgt.runs) == 0 && tgt.orphanUsage == work.Resources{} && len(tgt.unexpected) == 0)
}
