package load

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Percentiles summarizes the distribution of a latency in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

func percentilesOf(h *hdrhistogram.Histogram) Percentiles {
	const microsecondsPerMs = 1000
	return Percentiles{
		Count: h.TotalCount(),
		P50:   float64(h.ValueAtQuantile(50)) / microsecondsPerMs,
		P99:   float64(h.ValueAtQuantile(99)) / microsecondsPerMs,
		P999:  float64(h.ValueAtQuantile(99.9)) / microsecondsPerMs,
		Max:   float64(h.Max()) / microsecondsPerMs,
	}
}

// Fairness summarizes how far the teams' running requests were from the weighted max-min division, in percent of a pool's slots, over the samples in which enough requests were outstanding to fill the pool.
type Fairness struct {
	Samples int `json:"samples"`
	// Mean, P95 and Max summarize the largest deviation of a team in each sample.
	Mean float64 `json:"mean"`
	P95  float64 `json:"p95"`
	Max  float64 `json:"max"`
	// MaxOneSecondMean is the largest deviation of a team from its ideal, averaged over one second.
	MaxOneSecondMean float64 `json:"window"`
	// IdleMean is the mean share of slots that were idle although enough requests were outstanding to fill them.
	IdleMean float64 `json:"idleMean"`
	// MeanExcess is the mean difference between each team's running requests and its ideal; it is negative for a team that
	// got less.
	MeanExcess map[string]float64 `json:"beyond"`
}

// Report is the result of a load run.
type Report struct {
	Sent int `json:"sent"`
	// Outcomes counts the requests by outcome and reason.
	Outcomes map[string]int `json:"outcomes"`
	// Goodput is the number of correctly answered requests per second.
	Goodput float64 `json:"goodput"`
	// IdempotentPercent is the share of admitted idempotent requests that were answered correctly.
	IdempotentPercent float64     `json:"idempotentPercent"`
	Latency           Percentiles `json:"latency"`
	// UrgentWait is the latency of answered urgent requests minus their run time.
	UrgentWait Percentiles `json:"urgentWait"`
	Fairness   Fairness    `json:"fairness"`
	// TeamPeaks is the most requests of each team that were running at once.
	TeamPeaks map[string]int `json:"teamPeaks"`
	// BusyRefusals counts the requests that the stand-in's executors refused because no slot was free or they were draining.
	BusyRefusals int `json:"targetBusy"`

	// DoubleRuns counts the runs of non-idempotent requests after the first run of each.
	DoubleRuns int `json:"doubleRuns"`
	// FalseNotRun counts the requests that were refused as not run in their only attempt although a target ran them.
	FalseNotRun int `json:"falseNotRun"`
	// CrossedAnswers counts the successful answers that belong to another request or cannot be decoded.
	CrossedAnswers int `json:"crossedAnswers"`
	// FirstAttemptRan counts requests whose first attempt got no reply although a target ran it, and whose second attempt
	// was refused as not run. They are not counted in FalseNotRun, because the refusal is correct for the second attempt.
	FirstAttemptRan int `json:"firstCopyRan"`
	// OverLimit describes each team of which more requests than its limit were running at once.
	OverLimit []string `json:"overLimit"`
}

// Violations returns the guarantees that were violated during the load run, with the number of violations.
func (r Report) Violations() []string {
	var violations []string
	add := func(count int, violation string) {
		if count > 0 {
			violations = append(violations, fmt.Sprintf("%s (%d)", violation, count))
		}
	}
	add(r.DoubleRuns, "a non-idempotent request ran twice")
	add(r.FalseNotRun, "a request refused as not run was run")
	add(r.CrossedAnswers, "a caller received another request's answer")
	add(len(r.OverLimit), "a team ran more than its limit")
	return violations
}

// Print writes the report as text.
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
		r.BusyRefusals, r.DoubleRuns, r.FalseNotRun, r.FirstAttemptRan, r.CrossedAnswers, r.OverLimit)
}
