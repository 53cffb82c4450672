package load

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/stand"
)

// finish asks the stand-in what really ran.
func (r *Run) finish() (Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	report.Goodput = float64(r.good) / r.settings.Duration.Seconds()
	if r.idempotent > 0 {
		report.IdempotentPercent *= percent / float64(r.idempotent)
	}
	report.Latency = percentilesOf(r.latency)
	report.UrgentWait = percentilesOf(r.wait)
	report.Fairness = fairnessOf(r.settings.Teams, r.samples)
	var totals stand.Totals
	if err := r.get(stand.TotalsPath, &totals); err != nil {
		return report, err
	}
	report.DoubleRuns = totals.DoubleRuns
	report.BusyRefusals = totals.BusyRefusals
	for _, t := range r.settings.Teams {
		peak := totals.Teams[t.Name].Peak
		report.TeamPeaks[t.Name] = peak
		if peak > t.Limit {
			report.OverLimit = append(report.OverLimit, fmt.Sprintf("%s ran %d of %d", t.Name, peak, t.Limit))
		}
	}
	var err error
	if report.FalseNotRun, err = r.countRan(r.notRun); err != nil {
		return report, err
	}
	report.FirstCopyRan, err = r.countRan(r.secondNotRun)
	return report, err
}

// countRan returns how many of the requests ran on any target.
func (r *Run) countRan(requests []string) (int, error) {
	counts, err := r.ran(requests)
	ran := 0
	for _, count := range counts {
		if count > 0 {
			ran++
		}
	}
	return ran, err
}

// ran returns how often each of the requests ran on any target.
func (r *Run) ran(requests []string) (map[string]int, error) {
	body, err := json.Marshal(requests)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + r.settings.Standin + stand.RunCountsPath)
	req.SetBodyRaw(body)
	counts := map[string]int{}
	err = fasthttp.DoTimeout(req, resp, r.settings.BurstDuration)
	return counts, decode(stand.RunCountsPath, resp.StatusCode(), resp.Body(), err, &counts)
}

func decode(path string, status int, body []byte, err error, value any) error {
	if err != nil {
		return trace.Wrap(err, "calling the stand-in at %s", path)
	}
	if status != fasthttp.StatusOK {
		return trace.Errorf("the stand-in answered %s with status %d", path, status)
	}
	return trace.Wrap(json.Unmarshal(body, value), "reading the stand-in's answer to %s", path)
}
