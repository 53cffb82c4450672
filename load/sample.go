package load

import (
	"math"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/share"
	"lavenderwing.example/lavenderwing/stand"
)

// samplePeriod is how often the division of slots is looked at.
const samplePeriod = 50 * time.Millisecond

// sample is one look at a full pool.
type sample struct {
	// window is the second of the run.
	window    int
	deviation float64
	idle      float64
	// teams holds what each team ran beyond its ideal, in percent of the pool's slots.
	teams []float64
}

// look takes one sample of the pool whose queue bursts.
func (r *Run) look() {
	elapsed := time.Since(r.started)
	if elapsed%r.settings.BurstDuration < r.settings.SettleTime {
		return
	}
	var totals stand.Totals
	if err := r.get(stand.TotalsPath, &totals); err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.settings.Queues[r.turn(elapsed)]
	if s, full := r.judge(q, totals.OccupiedSlots[q.Pool]); full {
		s.window = int(elapsed / time.Second)
		r.samples = append(r.samples, s)
	}
}

// judge compares a pool's occupied slots with the weighted max-min ideal for what is outstanding.
func (r *Run) judge(q QueueSettings, occupied map[string]int) (sample, bool) {
	claims := make([]share.Contender, len(r.settings.Teams))
	wanted := 0
	used := 0
	for i, t := range r.settings.Teams {
		want := min(r.outstanding[q.Pool][t.Name], t.Limit)
		claims[i] = share.Contender{Demand: want, Weight: t.Share}
		wanted += want
		used += occupied[t.Name]
	}
	if wanted < q.Slots {
		return sample{}, false
	}
	share.Divide(q.Slots, claims)
	slots := float64(q.Slots)
	s := sample{idle: percent * float64(max(q.Slots-used, 0)) / slots}
	for i, t := range r.settings.Teams {
		beyond := percent * float64(occupied[t.Name]-claims[i].Allocated) / slots
		s.teams = append(s.teams, beyond)
		s.deviation = max(s.deviation, math.Abs(beyond))
	}
	return s, true
}

// fairnessOf sums up all samples.
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
			f.MeanExcess[t.Name] += s.teams[i] / float64(len(samples))
		}
	}
	f.MaxOneSecondMean = windowDeviation(samples)
	slices.Sort(deviations)
	f.P95 = deviations[int(math.Ceil(0.95*float64(len(deviations))))-1]
	f.Max = deviations[len(deviations)-1]
	return f
}

// windowDeviation returns the largest deviation of a team's mean over one second.
func windowDeviation(samples []sample) float64 {
	worst := 0.0
	for first := 0; first < len(samples); {
		last := first
		sums := make([]float64, len(samples[first].teams))
		for ; last < len(samples) && samples[last].window == samples[first].window; last++ {
			for i, beyond := range samples[last].teams {
				sums[i] += beyond
			}
		}
		for _, sum := range sums {
			worst = max(worst, math.Abs(sum)/float64(last-first))
		}
		first = last
	}
	return worst
}

func (r *Run) get(path string, value any) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+r.settings.Standin+path, r.settings.BurstDuration)
	return decode(path, status, body, err, value)
}
