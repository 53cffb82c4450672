package sched

import (
	"strconv"
	"time"
)

// Pacing of best-effort items beside serving ones. A serving item may exceed its tail latency bound for several seconds at a time, and renewal replies come about every second, so best-effort items stop at the second reply in a row that shows a bound exceeded, and speed up slowly.
const (
	fullPacePercent = 100
	// paceCutFactor is the part of their pace that best-effort items keep at the first reply that shows a bound exceeded.
	paceCutFactor = 0.4
	// paceRaisePercent is what best-effort items get back at each reply that shows all serving items calm, in percent of full speed.
	paceRaisePercent = 20
	// paceRaiseThreshold is the part of its bound below which a serving item's tail latency is calm.
	paceRaiseThreshold = 0.75
)

// adjustPace slows the best-effort items of a target while a serving item there exceeds its tail latency bound.
func (t *Table) adjustPace(tgt *target, _ time.Duration) {
	exceeded, calm, hasBestEffort := false, true, false
	for _, it := range tgt.runs {
		s := it.step.spec
		hasBestEffort = hasBestEffort || s.BestEffort
		if !s.Serving || s.MaxTailLatencyMs == 0 || !it.confirmed {
			continue
		}
		exceeded = exceeded || it.metric > float64(s.MaxTailLatencyMs)
		calm = calm && it.metric < paceRaiseThreshold*float64(s.MaxTailLatencyMs)
	}
	if !hasBestEffort {
		tgt.bestEffortPercent = fullPacePercent
		return
	}
	next := tgt.bestEffortPercent
	switch {
	case exceeded && tgt.tailExceeded:
		next = 0
	case exceeded:
		next = int(float64(next) * paceCutFactor)
	case calm:
		next = min(next+paceRaisePercent, fullPacePercent)
	}
	tgt.tailExceeded = exceeded
	tgt.bestEffortPercent = next
	for _, it := range tgt.runs {
		if it.step.spec.BestEffort && it.confirmed && !it.stopping && it.pacePercent != next {
			it.pacePercent, it.timed = next, false
			t.orders = append(t.orders, PaceOrder{Target: tgt.ID, Item: it.id, Run: it.run, Percent: next})
			t.logEvent("paced", it.id.String(), string(tgt.ID), strconv.Itoa(next)+" percent")
		}
	}
}
