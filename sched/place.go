package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// pick chooses the target for a waiting item, or nil if none can take it.
func (t *Table) pick(it *item, now time.Duration) *target {
	s := it.step
	pool := s.job.queue.Pool
	charge := s.spec.Reservation()
	var best *target
	bestScore := 0.0
	for _, row := range t.targetsOf(pool) {
		if !charge.Fits(row.free()) || !t.suits(s, row, now) {
			continue
		}
		if _, ok := s.permit(row, now); s.advised() && !ok {
			continue
		}
		score := t.score(it, row)
		if best == nil || score > bestScore {
			best, bestScore = row, score
		}
	}
	return best
}

// suits reports whether the target may get items of the step, apart from its room.
func (t *Table) suits(s *step, row *target, now time.Duration) bool {
	return row.usable(now) && (s.spec.RequiredLabel == "" || row.HasLabel(s.spec.RequiredLabel)) &&
		(s.spec.MaxPerTarget == 0 || onTarget(row, s) < s.spec.MaxPerTarget)
}

// onTarget counts the step's items on a target.
func onTarget(row *target, s *step) int {
	n := 0
	for _, r := range row.runs {
		if r.step == s {
			n++
		}
	}
	return n
}

// Weights of a placement, as shares of a target's whole processor.
const (
	// dataWeight outweighs any load, because items away from their data run several times as long.
	dataWeight = 4.0
	// avoidWeight keeps an item from the target where it failed, if there is any other.
	avoidWeight = 8.0
	// rackWeight keeps the items of a rack-sensitive step together.
	rackWeight = 2.0
	// apartWeight spreads serving items of a step, so that taking a host away takes one of them.
	apartWeight = 1.0
	// dueWeight keeps serving items from targets that are about to go, as long as others have room.
	dueWeight = 3.0
	// fillWeight spreads filling items by the processor time that they would use.
	fillWeight = 1.0
	// disturbWeight keeps filling items from targets with serving ones.
	disturbWeight = 3.0
)

// score rates a target for an item: the fuller the better, so that hosts that are not needed become idle, near the data and away from where it failed.
func (t *Table) score(it *item, row *target) float64 {
	s := it.step.spec
	score := -share(row.free(), row.Capacity)
	if s.BestEffort {
		// Filling items live on what others leave, and disturb serving ones.
		score = share(row.free(), row.Capacity) - fillWeight*fillShare(row) - disturbWeight*float64(disturbed(row))
	}
	if s.Serving && s.MaxTailLatencyMs > 0 {
		score -= fillWeight * fillShare(row)
	}
	if s.DataRack != "" && s.DataRack == row.rack {
		score += dataWeight
	}
	if it.avoid == row {
		score -= avoidWeight
	}
	if s.Serving && row.upkeepDue {
		score -= dueWeight
	}
	if s.Serving && s.MaxUnavailable > 0 {
		score -= apartWeight * float64(onTarget(row, it.step))
	}
	if s.RackSensitive && rackTaken(it.step, row) {
		score += rackWeight
	}
	return score
}

func rackTaken(s *step, row *target) bool {
	for _, i := range s.items {
		if i.target != nil && i.target.rack == row.rack {
			return true
		}
	}
	return false
}

// share is the part of a capacity that is free, from 0 to 1.
func share(free, capacity work.Resources) float64 {
	if capacity.CPU == 0 {
		return 0
	}
	return float64(free.CPU) / float64(capacity.CPU)
}

// fillShare is the part of a target's processor that its filling items would use.
func fillShare(row *target) float64 {
	if row.Capacity.CPU == 0 {
		return 0
	}
	var cpu int64
	for _, r := range row.runs {
		if r.step.spec.BestEffort {
			cpu += r.step.spec.Demand.CPU
		}
	}
	return float64(cpu) / float64(row.Capacity.CPU)
}

// disturbed counts the target's serving items that have a bound.
func disturbed(row *target) int {
	n := 0
	for _, r := range row.runs {
		if r.step.spec.Serving && r.step.spec.MaxTailLatencyMs > 0 {
			n++
		}
	}
	return n
}
