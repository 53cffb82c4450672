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
	deviation float64
	idle      float64
}

func (r *Run) sampleUntil(stop <-chan struct{}) {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			r.look()
		}
	}
}

func (r *Run) look() {
	elapsed := time.Since(r.started)
	if elapsed%r.settings.Turn < r.settings.Settle {
		return
	}
	var totals stand.Totals
	if err := r.get(stand.TotalsPath, &totals); err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.settings.Queues[r.turn(elapsed)]
	if s, full := r.judge(q, totals.Occupied[q.Pool]); full {
		r.samples = append(r.samples, s)
	}
}

// judge compares a pool's occupied slots with the weighted max-min ideal for what is outstanding.
func (r *Run) judge(q QueueSettings, occupied map[string]int) (sample, bool) {
	claims := make([]share.Claim, len(r.settings.Teams))
	wanted := 0
	used := 0
	for i, t := range r.settings.Teams {
		want := min(r.outstanding[q.Pool][t.Name], t.Limit)
		claims[i] = share.Claim{Want: want, Weight: t.Share}
		wanted += want
		used += occupied[t.Name]
	}
	if wanted < q.Slots {
		return sample{}, false
	}
	share.Divide(q.Slots, claims)
	worst := 0
	for i, t := range r.settings.Teams {
		worst = max(worst, abs(occupied[t.Name]-claims[i].Got))
	}
	slots := float64(q.Slots)
	return sample{deviation: percent * float64(worst) / slots, idle: percent * float64(max(q.Slots-used, 0)) / slots}, true
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}

// fairnessOf sums up all samples.
func fairnessOf(samples []sample) Fairness {
	f := Fairness{Samples: len(samples)}
	if len(samples) == 0 {
		return f
	}
	var deviations []float64
	for _, s := range samples {
		deviations = append(deviations, s.deviation)
		f.Mean += s.deviation / float64(len(samples))
		f.IdleMean += s.idle / float64(len(samples))
	}
	slices.Sort(deviations)
	f.P95 = deviations[int(math.Ceil(0.95*float64(len(deviations))))-1]
	f.Max = deviations[len(deviations)-1]
	return f
}

func (r *Run) get(path string, value any) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+r.settings.Standin+path, r.settings.Turn)
	return decode(path, status, body, err, value)
}
