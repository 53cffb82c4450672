package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// pickTarget returns the target with the highest score for a waiting item, or nil if none can run it or starts are suspended.
func (t *Table) pickTarget(it *item, now time.Duration) *target {
	if t.startsSuspended {
		return nil
	}
	s := it.step
	pool := s.job.queue.Pool
	charge := s.spec.Reservation()
	var best *target
	bestScore := 0.0
	for _, tgt := range t.targetsInPool(pool) {
		if !charge.Fits(tgt.free()) || !t.eligible(s, tgt, now) {
			continue
		}
		if _, ok := s.validTicket(tgt, now); s.needsAdvice() && !ok {
			continue
		}
		score := t.score(it, tgt, now)
		if best == nil || score > bestScore {
			best, bestScore = tgt, score
		}
	}
	return best
}

// eligible reports whether the target may run items of the step, apart from its free capacity.
func (t *Table) eligible(s *step, tgt *target, now time.Duration) bool {
	return tgt.usable(now) && tgt.suits(s) && !tgt.keepsRoom(s, now) && t.knowsCapacity(tgt, now)
}

// startDeliveryTime is how long a start may take from its last check to its target.
const startDeliveryTime = 500 * time.Millisecond

// knowsCapacity reports whether the target's last report is recent enough to start items by it. A target that has shrunk reports it within work.Bounds.ReportInterval, and may be started by its earlier capacity for work.Bounds.ContactTime after that. One that rejects what does not fit may always be asked, and targets that have all reported only once may not report regularly.
func (t *Table) knowsCapacity(tgt *target, now time.Duration) bool {
	if t.bounds.ReportInterval == 0 || t.bounds.ContactTime == 0 || !t.regularReports || now-tgt.reportedAt <= t.bounds.ReportInterval+t.bounds.ContactTime-startDeliveryTime {
		return true
	}
	pool, ok := t.config.Pool(tgt.Pool)
	return ok && pool.EnforcesCapacity
}

// suits reports whether the target has the label that the step requires, and may run one more of its items.
func (t *target) suits(s *step) bool {
	return (s.spec.RequiredLabel == "" || t.HasLabel(s.spec.RequiredLabel)) && (s.spec.MaxPerTarget == 0 || countOnTarget(t, s) < s.spec.MaxPerTarget)
}

// countOnTarget counts the step's items on a target.
func countOnTarget(tgt *target, s *step) int {
	n := 0
	for _, r := range tgt.runs {
		if r.step == s {
			n++
		}
	}
	return n
}

// Weights of a target's score; a weight of 1 counts as much as the target's whole processor.
const (
	// dataLocalityWeight outweighs how full a target is, because items away from their data run several times as long.
	dataLocalityWeight = 4.0
	// failedTargetPenalty keeps an item from the target on which it failed last. It is larger than each other weight, but several other terms together can outweigh it.
	failedTargetPenalty = 8.0
	// rackAffinityWeight keeps the items of a rack-sensitive step together.
	rackAffinityWeight = 2.0
	// spreadPenalty spreads the serving items of a step that states no MaxPerTarget, so that the loss of a host takes only one of them.
	spreadPenalty = 1.0
	// servingAffinityWeight brings the serving items of steps that state MaxPerTarget together, so that hosts without serving items can be released. It outweighs how full a target is, but not a maintenance that is due.
	servingAffinityWeight = 1.5
	// maintenancePenalty keeps serving items from targets that are about to be maintained, as long as others have room.
	maintenancePenalty = 3.0
	// bestEffortPenalty keeps best-effort items, and serving items with a tail latency bound, from targets whose best-effort items would use much processor time.
	bestEffortPenalty = 1.0
	// interferencePenalty keeps best-effort items from targets with latency-bound serving items.
	interferencePenalty = 3.0
	// extensionPenalty keeps items from targets that would be empty long before them, as long as others are about as full.
	extensionPenalty = 0.1
)

// score rates a target for an item, higher being better. Targets with less free CPU rate higher, so that hosts that are not needed become idle; for best-effort items it is the reverse. Targets near the item's data rate higher too, and the target on which the item failed last rates lower.
func (t *Table) score(it *item, tgt *target, now time.Duration) float64 {
	s := it.step.spec
	score := -freeCPUFraction(tgt.free(), tgt.Capacity)
	if s.BestEffort {
		// Best-effort items use only what other items leave and slow serving items down, so emptier targets suit them better.
		score = freeCPUFraction(tgt.free(), tgt.Capacity) - bestEffortPenalty*bestEffortCPUFraction(tgt) - interferencePenalty*float64(countLatencyBound(tgt))
	}
	if s.Serving && s.MaxTailLatencyMs > 0 {
		score -= bestEffortPenalty * bestEffortCPUFraction(tgt)
	}
	if s.DataRack != "" && s.DataRack == tgt.rack {
		score += dataLocalityWeight
	}
	if it.lastFailedOn == tgt {
		score -= failedTargetPenalty
	}
	if s.Serving && tgt.maintenanceDue {
		score -= maintenancePenalty
	}
	switch {
	case s.Serving && s.MaxPerTarget > 0 && tgt.hasServingItem():
		score += servingAffinityWeight
	case s.Serving && s.MaxPerTarget == 0 && s.MaxUnavailable > 0:
		score -= spreadPenalty * float64(countOnTarget(tgt, it.step))
	}
	score -= extensionPenalty * t.busyExtension(it, tgt, now)
	if s.RackSensitive && rackHasItems(it.step, tgt) {
		score += rackAffinityWeight
	}
	return score
}

func rackHasItems(s *step, tgt *target) bool {
	for it := range s.known() {
		if it.target != nil && it.target.rack == tgt.rack {
			return true
		}
	}
	return false
}

// freeCPUFraction is the free part of a capacity's CPU, from 0 to 1.
func freeCPUFraction(free, capacity work.Resources) float64 {
	if capacity.CPU == 0 {
		return 0
	}
	return float64(free.CPU) / float64(capacity.CPU)
}

// bestEffortCPUFraction is the part of a target's CPU that its best-effort items would use; it may exceed 1, because their CPU is not reserved.
func bestEffortCPUFraction(tgt *target) float64 {
	if tgt.Capacity.CPU == 0 {
		return 0
	}
	var cpu int64
	for _, r := range tgt.runs {
		if r.step.spec.BestEffort {
			cpu += r.step.spec.Demand.CPU
		}
	}
	return float64(cpu) / float64(tgt.Capacity.CPU)
}

// countLatencyBound counts the target's serving items that have a tail latency bound.
func countLatencyBound(tgt *target) int {
	n := 0
	for _, r := range tgt.runs {
		if r.step.spec.Serving && r.step.spec.MaxTailLatencyMs > 0 {
			n++
		}
	}
	return n
}
