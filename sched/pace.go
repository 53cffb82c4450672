package sched

import (
	"strconv"
	"time"
)

// Pacing of items that fill beside serving ones. A serving item may be over its bound for some seconds on end, and listings come about every second, so that filling stops at the second sign and comes back slowly.
const (
	paceFull = 100
	// paceDown is the share that filling keeps at the first sign of harm.
	paceDown = 0.4
	// paceUp is what filling gets back at each listing without harm, in percent.
	paceUp = 20
	// paceCalm is the share of its bound under which a serving item is taken to be well.
	paceCalm = 0.75
)

// pace slows the filling items of a target while a serving one there is over its bound.
func (t *Table) pace(row *target, _ time.Duration) {
	harmed, calm, fills := false, true, false
	for _, it := range row.runs {
		s := it.step.spec
		fills = fills || s.BestEffort
		if !s.Serving || s.MaxTailLatencyMs == 0 || !it.confirmed {
			continue
		}
		harmed = harmed || it.figure > float64(s.MaxTailLatencyMs)
		calm = calm && it.figure < paceCalm*float64(s.MaxTailLatencyMs)
	}
	if !fills {
		row.pacing = paceFull
		return
	}
	next := row.pacing
	switch {
	case harmed && row.harmed:
		next = 0
	case harmed:
		next = int(float64(next) * paceDown)
	case calm:
		next = min(next+paceUp, paceFull)
	}
	row.harmed = harmed
	row.pacing = next
	for _, it := range row.runs {
		if it.step.spec.BestEffort && it.confirmed && !it.stopping && it.paced != next {
			it.paced = next
			t.orders = append(t.orders, PaceOrder{Target: row.ID, Item: it.id, Run: it.run, Percent: next})
			t.note("paced", it.id.String(), string(row.ID), strconv.Itoa(next)+" percent")
		}
	}
}
