package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// TestArrivingWorkIsTakenByShownRunTimes checks that declared times that have been wrong do not size a pool.
func TestArrivingWorkIsTakenByShownRunTimes(t *testing.T) {
	is := is.New(t)
	j := &work.Job{Steps: []work.Step{{Count: 4, Demand: work.Resources{CPU: 1000, MemMB: 1}, EstimateMs: 2000}}}
	past := &pastRuns{}
	declared := &poolRow{}
	declared.arrive(j, past, time.Second)
	for range 200 {
		past.observe(time.Second, 2000)
	}
	shown := &poolRow{}
	shown.arrive(j, past, time.Second)
	is.Equal(int(declared.arriving), 8000)
	is.True(shown.arriving > 3900 && shown.arriving < 4100) // half of what was declared
}

// TestARiseIsExtrapolated checks that rising work asks for more than what comes now, at most twice as much, and steady work for no more.
func TestARiseIsExtrapolated(t *testing.T) {
	is := is.New(t)
	past := &pastRuns{}
	play := func(from, to int64) (arriving, expected float64) {
		p := &poolRow{}
		for n := range int64(100) {
			now := time.Duration(n) * hostsEvery
			cpu := from + (to-from)*n/100
			p.arrive(&work.Job{Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: cpu, MemMB: 1}, EstimateMs: 100}}}, past, now)
			expected = p.expected(now)
			p.at = now
			arriving = p.arrivingNow(now)
		}
		return arriving, expected
	}
	arriving, expected := play(10_000, 10_000)
	is.True(expected >= arriving && expected < 1.05*arriving) // steady
	arriving, expected = play(0, 100_000)
	is.True(expected > 1.1*arriving && expected <= trendMost*arriving) // rising
}
