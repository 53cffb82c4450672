package sched

import "time"

// evacuate moves serving items away from targets that drain or are about to leave, one by one within their steps' budgets.
func (t *Table) evacuate(now time.Duration) {
	for _, row := range t.order {
		if !row.Draining && (!row.leaving || row.leavingNow) {
			continue
		}
		for _, it := range row.runs {
			if it.step.spec.Serving && !it.stopping && it.confirmed && t.mayStop(it.step, now) && t.pick(it, now) != nil {
				t.note("evacuated", it.id.String(), string(row.ID), "target leaves")
				t.stop(it, now)
			}
		}
	}
}

// mayStop reports whether the step's budget allows one more item to be taken away.
func (t *Table) mayStop(s *step, now time.Duration) bool {
	if s.spec.MaxUnavailable == 0 {
		return true
	}
	return t.inEffect(now) && t.away(s)+1 <= s.spec.MaxUnavailable
}

// effectSlack is what an earlier holder's order may take to its target or the cloud.
const effectSlack = time.Second

// inEffect reports whether an earlier holder's stops and orders for hosts have taken effect, so that listings show what they took away.
func (t *Table) inEffect(now time.Duration) bool {
	return t.token == 1 || now-t.began > t.bounds.MaxStopTime+effectSlack
}

// away counts the step's items that are not at work or about to be taken away.
func (t *Table) away(s *step) int {
	n := 0
	for _, it := range s.items {
		if it.state != itemOrdered || !it.atWork || it.stopping || it.target.silent || it.target.leavingNow {
			n++
		}
	}
	return n
}
