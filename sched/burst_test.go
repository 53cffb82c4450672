package sched

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

// burstLoad plays jobs that arrive independently at one rate and, from burstAt on, at another one, and returns for each plan the forecast of a pool in multiples of the work that arrives in the mean after burstAt.
func burstLoad(seed int64, before, after float64, burstAt, length time.Duration) (forecasts, averages []float64) {
	const cpu, estimateMs = 2000, 800
	random := rand.New(rand.NewSource(seed))
	p := &poolState{}
	stats := &runStats{}
	var mean float64
	for now := time.Second; now < length; now += 10 * time.Millisecond {
		rate := before
		if now >= burstAt {
			rate = after
		}
		for chance := rate * 0.01; chance > 0; chance-- {
			if random.Float64() < chance {
				width := 1 + random.Intn(15)
				p.addArrival(&work.Job{Steps: []work.Step{{Count: width, Demand: work.Resources{CPU: cpu, MemMB: 1}, EstimateMs: estimateMs}}}, stats, now, now)
			}
		}
		mean = after * 8 * cpu * estimateMs / 1000
		if now%hostPlanInterval == 0 {
			averages = append(averages, p.arrivalAt(now)/mean)
			forecasts = append(forecasts, p.updateForecast(now)/mean)
			p.measuredAt = now
		}
	}
	return forecasts, averages
}

// TestBurstIsRecognisedAtOnce guards against callers of a burst who wait while their pool grows in steps. Arrivals jump to twenty times their rate: within 300 ms the forecast has to ask for most of the hosts that the burst needs, where the average over arrivalWindow, the baseline, asks for a third.
func TestBurstIsRecognisedAtOnce(t *testing.T) {
	is := is.New(t)
	const burstAt = 5 * time.Second
	at := int((burstAt + 300*time.Millisecond - time.Second) / hostPlanInterval)
	for _, rate := range []float64{40, 400} {
		var forecast, average float64
		const seeds = 50
		for seed := range int64(seeds) {
			forecasts, averages := burstLoad(seed, rate/20, rate, burstAt, burstAt+400*time.Millisecond)
			forecast += forecasts[at] / seeds
			average += averages[at] / seeds
		}
		t.Logf("rate %.0f: forecast %.2f, average %.2f", rate, forecast, average)
		is.True(average < 0.4)  // the baseline
		is.True(forecast > 0.7) // most of the hosts are ordered
	}
}

// TestSteadyArrivalsAreNoBurst guards against hosts that are ordered for nothing: jobs that happen to come together must not look like a burst. The forecast of steady arrivals stays close to what arrives, also where only a few jobs arrive a second.
func TestSteadyArrivalsAreNoBurst(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{7, 40, 400} {
		var sum float64
		n := 0
		for seed := range int64(20) {
			forecasts, _ := burstLoad(seed, rate, rate, 0, 20*time.Second)
			for _, f := range forecasts[20:] {
				sum += f
				n++
			}
		}
		t.Logf("rate %.0f: mean forecast %.2f", rate, sum/float64(n))
		is.True(sum/float64(n) < 1.5) // mean forecast in multiples of the mean arrivals
	}
}
