package sched

import "time"

// evacuate evicts serving items from targets that drain or are cordoned, one by one within their steps' disruption budgets. An item is evicted only when there is room for it elsewhere, unless its host has drained for long: in a full pool, batch work takes all room that becomes free, whereas an evicted item is placed before it.
func (t *Table) evacuate(now time.Duration) {
	for _, tgt := range t.sortedTargets {
		if !tgt.Draining && (!tgt.cordoned || tgt.hostOrderIssued) {
			continue
		}
		for _, it := range tgt.runs {
			if it.step.spec.Serving && !it.stopping && it.confirmed && t.mayEvictOne(it.step, now) && t.hasPlaceElsewhere(it, tgt, now) {
				t.logEvent("evacuated", it.id.String(), string(tgt.ID), "target is draining")
				t.orderStop(it, now)
			}
		}
	}
}

// hasPlaceElsewhere reports whether a serving item may leave its draining target for another one. An item that leaves to make its host needless has to find room beside other serving items, and leaves only while all items of its step are available.
func (t *Table) hasPlaceElsewhere(it *item, tgt *target, now time.Duration) bool {
	if tgt.consolidating {
		other := t.pickTarget(it, now)
		return other != nil && other.hasServingItem() && t.countUnavailable(it.step) == 0 && !t.isStoreSlow(now)
	}
	return tgt.drainOverdue || t.pickTarget(it, now) != nil
}

// mayEvictOne reports whether the step's disruption budget allows one more item to be evicted.
func (t *Table) mayEvictOne(s *step, now time.Duration) bool {
	if s.spec.MaxUnavailable == 0 {
		return true
	}
	return t.predecessorOrdersSettled(now) && t.countUnavailable(s)+1 <= s.spec.MaxUnavailable
}

// orderDeliverySlack is the time that an earlier holder's order may take to reach its target or the cloud.
const orderDeliverySlack = time.Second

// predecessorOrdersSettled reports whether an earlier holder's stops and host orders have taken effect, so that renewal replies and host lists show it.
func (t *Table) predecessorOrdersSettled(now time.Duration) bool {
	return t.token == 1 || now-t.tookOverAt > t.bounds.MaxStopTime+orderDeliverySlack
}

// countUnavailable counts the step's items that are not at full speed or are about to be evicted.
func (t *Table) countUnavailable(s *step) int {
	n := s.spec.Count - s.touched
	for it := range s.known() {
		if it.state != itemOrdered || !it.atFullSpeed || it.stopping || it.target.unreachable || it.target.hostOrderIssued {
			n++
		}
	}
	return n
}
