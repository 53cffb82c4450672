package load

import (
	"math"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/share"
)

// sampleInterval is how often the division of slots over the teams is sampled.
const sampleInterval = 50 * time.Millisecond

// sample is the difference between the actual and the ideal division of a pool's slots at one moment, in percent of the
// slots.
type sample struct {
	// second is the number of whole seconds since the start of the load run.
	second int
	// deviation is the largest absolute excess of a team.
	deviation float64
	// idle is the share of slots that run no request.
	idle float64
	// excess holds, by team, the number of running requests minus the ideal number.
	excess []float64
}

// takeSample takes a sample of the pool whose queue is bursting, unless the burst began less than SettleTime ago or too
// few requests are outstanding to fill the pool.
func (g *Generator) takeSample() {
	elapsed := time.Since(g.started)
	if elapsed%g.settings.BurstDuration < g.settings.SettleTime {
		return
	}
	var totals fake.Totals
	if err := g.getFromStandin(fake.TotalsPath, &totals); err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.settings.Queues[g.burstingQueue(elapsed)]
	if s, ok := g.comparePool(q, totals.OccupiedSlots[q.Pool]); ok {
		s.second = int(elapsed / time.Second)
		g.samples = append(g.samples, s)
	}
}

// comparePool compares a pool's occupied slots with the weighted max-min division for the outstanding requests. It
// returns false if these requests can't fill the pool.
func (g *Generator) comparePool(q QueueSettings, occupied map[string]int) (sample, bool) {
	contenders := make([]share.Contender, len(g.settings.Teams))
	wanted := 0
	used := 0
	for i, t := range g.settings.Teams {
		want := min(g.outstandingByPool[q.Pool][t.Name], t.Limit)
		contenders[i] = share.Contender{Demand: want, Weight: t.Share}
		wanted += want
		used += occupied[t.Name]
	}
	if wanted < q.Slots {
		return sample{}, false
	}
	share.Divide(q.Slots, contenders)
	slots := float64(q.Slots)
	s := sample{idle: percent * float64(max(q.Slots-used, 0)) / slots}
	for i, t := range g.settings.Teams {
		excess := percent * float64(occupied[t.Name]-contenders[i].Allocated) / slots
		s.excess = append(s.excess, excess)
		s.deviation = max(s.deviation, math.Abs(excess))
	}
	return s, true
}

// fairnessOf summarizes the samples.
func fairnessOf(teams []TeamSettings, samples []sample) Fairness {
	f := Fairness{Samples: len(samples), MeanExcess: map[string]float64{}}
	if len(samples) == 0 {
		return f
	}
	var deviations []float64
	for _, s := range samples {
		deviations = append(deviations, s.deviation)
		f.Mean += s.deviation / float64(len(samples))
		f.IdleMean += s.idle / float64(len(samples))
		for i, t := range teams {
			f.MeanExcess[t.Name] += s.excess[i] / float64(len(samples))
		}
	}
	f.MaxOneSecondMean = maxOneSecondMean(samples)
	slices.Sort(deviations)
	f.P95 = deviations[int(math.Ceil(0.95*float64(len(deviations))))-1]
	f.Max = deviations[len(deviations)-1]
	return f
}

// maxOneSecondMean returns the largest absolute value that a team's mean excess over one second reached.
func maxOneSecondMean(samples []sample) float64 {
	largest := 0.0
	for first := 0; first < len(samples); {
		last := first
		sums := make([]float64, len(samples[first].excess))
		for ; last < len(samples) && samples[last].second == samples[first].second; last++ {
			for i, excess := range samples[last].excess {
				sums[i] += excess
			}
		}
		for _, sum := range sums {
			largest = max(largest, math.Abs(sum)/float64(last-first))
		}
		first = last
	}
	return largest
}

func (g *Generator) getFromStandin(path string, value any) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+g.settings.Standin+path, g.settings.BurstDuration)
	return decodeReply(path, status, body, err, value)
}
