package load

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Percentiles of a latency in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

func percentilesOf(h *hdrhistogram.Histogram) Percentiles {
	const perMs = 1000
	return Percentiles{
		Count: h.TotalCount(),
		P50:   float64(h.ValueAtQuantile(50)) / perMs,
		P99:   float64(h.ValueAtQuantile(99)) / perMs,
		P999:  float64(h.ValueAtQuantile(99.9)) / perMs,
		Max:   float64(h.Max()) / perMs,
	}
}

// Fairness is how far the teams' running requests were from the weighted max-min ideal, in percent of a pool's slots, over samples with a full pool.
type Fairness struct {
	Samples int     `json:"samples"`
	Mean    float64 `json:"mean"`
	P95     float64 `json:"p95"`
	Max     float64 `json:"max"`
	// MaxOneSecondMean is the largest deviation of a team's mean over one second.
	MaxOneSecondMean float64 `json:"window"`
	// IdleMean is the mean part of slots that were idle while work that could have run waited.
	IdleMean float64 `json:"idleMean"`
	// MeanExcess is what each team ran beyond its ideal in the mean.
	MeanExcess map[string]float64 `json:"beyond"`
}

// Report is the result of a load run.
type Report struct {
	Sent int `json:"sent"`
	// Outcomes counts replies by outcome and reason.
	Outcomes map[string]int `json:"outcomes"`
	// Goodput is answered requests a second.
	Goodput float64 `json:"goodput"`
	// IdempotentPercent is the part of admitted idempotent requests that were answered well.
	IdempotentPercent float64     `json:"idempotentPercent"`
	Latency           Percentiles `json:"latency"`
	// UrgentWait is the time from sending to the start on a target, for urgent requests.
	UrgentWait     Percentiles `json:"urgentWait"`
	Fairness Fairness    `json:"fairness"`
	// TeamPeaks is the most requests of each team that ran at once.
	TeamPeaks map[string]int `json:"teamPeaks"`
	BusyRefusals      int            `json:"targetBusy"`

	DoubleRuns   int `json:"doubleRuns"`
	FalseNotRun  int `json:"falseNotRun"`
	CrossedAnswers int `json:"crossedAnswers"`
	// FirstCopyRan counts calls whose first copy got no reply but ran, while a second copy was refused as not run.
	FirstCopyRan int      `json:"firstCopyRan"`
	OverLimit    []string `json:"overLimit"`
}

// Violations returns the promises that the run saw broken.
func (r Report) Violations() []string {
	var broken []string
	add := func(count int, promise string) {
		if count > 0 {
			broken = append(broken, fmt.Sprintf("%s (%d)", promise, count))
		}
	}
	add(r.DoubleRuns, "a non-idempotent request ran twice")
	add(r.FalseNotRun, "a request said to be not run was run")
	add(r.CrossedAnswers, "a caller received another request's answer")
	add(len(r.OverLimit), "a team ran more than its limit")
	return broken
}

// Print writes the report for people.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "sent %d, goodput %.1f/s, idempotent answered %.3f%%\n", r.Sent, r.Goodput, r.IdempotentPercent)
	for _, reason := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(w, "  %-28s %d\n", reason, r.Outcomes[reason])
	}
	fmt.Fprintf(w, "latency of answered ms: p50 %.1f p99 %.1f p99.9 %.1f max %.1f\n", r.Latency.P50, r.Latency.P99, r.Latency.P999, r.Latency.Max)
	fmt.Fprintf(w, "urgent start ms: p50 %.1f p99 %.1f p99.9 %.1f max %.1f (%d)\n", r.UrgentWait.P50, r.UrgentWait.P99, r.UrgentWait.P999, r.UrgentWait.Max, r.UrgentWait.Count)
	fmt.Fprintf(w, "share deviation %% of slots: mean %.2f p95 %.2f max %.2f, largest 1 s mean %.2f, idle while waiting mean %.2f%% (%d samples of full pools)\n",
		r.Fairness.Mean, r.Fairness.P95, r.Fairness.Max, r.Fairness.MaxOneSecondMean, r.Fairness.IdleMean, r.Fairness.Samples)
	for _, team := range slices.Sorted(maps.Keys(r.TeamPeaks)) {
		fmt.Fprintf(w, "  team %-20s peak %3d, beyond its ideal %+.2f%%\n", team, r.TeamPeaks[team], r.Fairness.MeanExcess[team])
	}
	fmt.Fprintf(w, "target busy refusals %d, double runs %d, false not-run %d (and %d whose unanswered first copy ran), crossed answers %d, over limit %v\n",
		r.BusyRefusals, r.DoubleRuns, r.FalseNotRun, r.FirstCopyRan, r.CrossedAnswers, r.OverLimit)
}
