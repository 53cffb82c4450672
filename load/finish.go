package load

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/fake"
)

// finalReport completes the report with the counts of the stand-in.
func (r *Run) finalReport() (Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	report.Goodput = float64(r.answered) / r.settings.Duration.Seconds()
	if r.admittedIdempotent > 0 {
		report.IdempotentPercent *= percent / float64(r.admittedIdempotent)
	}
	report.Latency = percentilesOf(r.latency)
	report.UrgentWait = percentilesOf(r.urgentWait)
	report.Fairness = fairnessOf(r.settings.Teams, r.samples)
	var totals fake.Totals
	if err := r.getFromStandin(fake.TotalsPath, &totals); err != nil {
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
	if report.FalseNotRun, err = r.countRan(r.notRunIDs); err != nil {
		return report, err
	}
	report.FirstCopyRan, err = r.countRan(r.notRunAfterRetryIDs)
	return report, err
}

// countRan returns how many of the requests were run by any target.
func (r *Run) countRan(requests []string) (int, error) {
	counts, err := r.fetchRunCounts(requests)
	ran := 0
	for _, count := range counts {
		if count > 0 {
			ran++
		}
	}
	return ran, err
}

// fetchRunCounts asks the stand-in how often each of the requests was run by any target.
func (r *Run) fetchRunCounts(requests []string) (map[string]int, error) {
	body, err := json.Marshal(requests)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + r.settings.Standin + fake.RunCountsPath)
	req.SetBodyRaw(body)
	counts := map[string]int{}
	err = fasthttp.DoTimeout(req, resp, r.settings.BurstDuration)
	return counts, decodeReply(fake.RunCountsPath, resp.StatusCode(), resp.Body(), err, &counts)
}

// decodeReply decodes a reply of the stand-in, and wraps the error of the call if there was one.
func decodeReply(path string, status int, body []byte, err error, value any) error {
	if err != nil {
		return trace.Wrap(err, "calling the stand-in at %s", path)
	}
	if status != fasthttp.StatusOK {
		return trace.Errorf("the stand-in answered %s with status %d", path, status)
	}
	return trace.Wrap(json.Unmarshal(body, value), "reading the stand-in's answer to %s", path)
}
