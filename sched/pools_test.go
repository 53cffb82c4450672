package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// TestArrivalsUseObservedRunTimes guards against pools that are sized by declared run times although finished runs have shown other ones.
func TestArrivalsUseObservedRunTimes(t *testing.T) {
	is := is.New(t)
	j := &work.Job{Steps: []work.Step{{Count: 4, Demand: work.Resources{CPU: 1000, MemMB: 1}, EstimateMs: 2000}}}
	stats := &runStats{}
	declared := &poolState{}
	declared.addArrival(j, stats, time.Second, time.Second)
	for range 200 {
		stats.observe(time.Second, 2000)
	}
	observed := &poolState{}
	observed.addArrival(j, stats, time.Second, time.Second)
	is.Equal(int(declared.arrivalCPU), 8000)
	is.True(observed.arrivalCPU > 3900 && observed.arrivalCPU < 4100) // half of what was declared
}

// TestRisingArrivalsAreExtrapolated guards against a pool that is short during a rise, because hosts take time to move, and against too many hosts: the forecast of rising arrivals exceeds the present ones, at most maxTrendFactor times, and that of steady arrivals does not.
func TestRisingArrivalsAreExtrapolated(t *testing.T) {
	is := is.New(t)
	stats := &runStats{}
	simulate := func(from, to int64) (arriving, forecast float64) {
		p := &poolState{}
		for n := range int64(100) {
			now := time.Duration(n) * hostPlanInterval
			cpu := from + (to-from)*n/100
			p.addArrival(&work.Job{Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: cpu, MemMB: 1}, EstimateMs: 100}}}, stats, now, now)
			forecast = p.updateForecast(now)
			p.measuredAt = now
			arriving = p.arrivalAt(now)
		}
		return arriving, forecast
	}
	arriving, forecast := simulate(10_000, 10_000)
	is.True(forecast >= arriving && forecast < 1.05*arriving) // steady
	arriving, forecast = simulate(0, 100_000)
	is.True(forecast > 1.1*arriving && forecast <= maxTrendFactor*arriving) // rising
}
