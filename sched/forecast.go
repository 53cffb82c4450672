package sched

import (
	"fmt"
	"time"

	"lavenderwing.example/lavenderwing/peaks"
	"lavenderwing.example/lavenderwing/work"
)

// Sizing of pools by the peaks of their arriving work, see package peaks.
const (
	// peakRateBuckets is the number of buckets, of burstBucket each, over which arrivals are averaged to find the beginning and end of a peak.
	peakRateBuckets = 6
	// settledRateBuckets is the number of buckets over which arrivals of a peak are averaged once it has risen.
	settledRateBuckets = 24
	// forecastLead is how long before a predicted peak its hosts are ordered beyond the time of a move: the host list and the planning interval add some tenths of a second.
	forecastLead = 500 * time.Millisecond
	// backlogTime is the time in which a backlog should be cleared: about as long as the objective of a job with items of a second leaves it to wait.
	backlogTime = time.Second
	// expectedPeakTime is how long before a predicted peak no host is emptied of serving items, since the host would have to come back at once.
	expectedPeakTime = 5 * time.Second
)

// sizeByPeaks observes the pool's arriving work and returns the arriving work, in millicores, for which the pool should have hosts, given the forecast by the trend, and sets the work of a predicted peak.
func (t *Table) sizeByPeaks(p *poolState, trend float64, now time.Duration) float64 {
	p.steady, p.peakEnded, p.aheadCPU = false, false, 0
	if p.standby || !t.features.Enabled(work.PeakForecast) {
		return trend
	}
	change := p.peaks.Observe(now, p.burst.mean(now, peakRateBuckets), p.burst.fallRate(now), p.burst.safeRate(now, peakRateBuckets), float64(minHosts)*float64(p.hostCPU))
	switch change {
	case peaks.Expected:
		t.logEvent("peakExpected", p.name, "peaks recur", fmt.Sprintf("in=%dms millicores=%.0f remaining=%dms", p.peaks.Next(now).Milliseconds(), p.peaks.Present(now), p.peaks.Remaining(now).Milliseconds()))
	case peaks.Missed:
		t.logEvent("peakMissed", p.name, "no peak at the expected time", "")
	}
	p.aheadCPU = p.peaks.Ahead(now, t.bounds.MoveTime+forecastLead)
	switch {
	case p.peaks.Settled(now):
		// The average over arrivalWindow still rises because it lags, which the trend would take for rising arrivals.
		p.steady = true
		return max(p.arrivalAt(now), p.burst.mean(now, settledRateBuckets))
	case p.peaks.Present(now) > 0:
		// A peak like the last one: its height is known before the arrivals have shown it.
		p.steady = true
		return max(p.arrivalAt(now), p.peaks.Present(now), p.burst.mean(now, peakRateBuckets))
	case p.peaks.Ended(now):
		// What arrived before the end needs no hosts beyond those of its unfinished items.
		p.peakEnded = true
		return p.burst.mean(now, peakRateBuckets)
	}
	return trend
}

// backlogCPU returns the CPU in millicores, beyond that for arriving work, that would clear within backlogTime what is still unfinished when hosts ordered now have moved.
func (t *Table) backlogCPU(p *poolState, arrivalCPU float64) float64 {
	lead := (t.bounds.MoveTime + hostPlanInterval).Seconds()
	// Hosts on their way have half of their move left in the mean.
	capacity := (float64(len(p.hosts)) + float64(p.incoming)/2) * float64(p.hostCPU) / headroomFactor
	left := p.unfinishedWork + (arrivalCPU-capacity-float64(p.serving))*lead
	return max(left, 0) / backlogTime.Seconds()
}

// PoolForecasts returns the arriving work in millicores for which each pool should have hosts, including that of a predicted peak.
func (t *Table) PoolForecasts() map[string]float64 {
	forecasts := make(map[string]float64, len(t.pools))
	for name, p := range t.pools {
		if !p.standby {
			forecasts[name] = p.forecastCPU
		}
	}
	return forecasts
}
