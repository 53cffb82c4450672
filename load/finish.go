package load

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/fake"
)

// finalReport completes the report with the counts of the stand-in.
func (g *Generator) finalReport() (Report, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	report := g.report
	report.Goodput = float64(g.answered) / g.settings.Duration.Seconds()
	if g.admittedIdempotent > 0 {
		report.IdempotentPercent *= percent / float64(g.admittedIdempotent)
	}
	report.Latency = percentilesOf(g.latency)
	report.UrgentWait = percentilesOf(g.urgentWait)
	report.Fairness = fairnessOf(g.settings.Teams, g.samples)
	var totals fake.Totals
	if err := g.getFromStandin(fake.TotalsPath, &totals); err != nil {
		return report, err
	}
	report.DoubleRuns = totals.DoubleRuns
	report.BusyRefusals = totals.BusyRefusals
	for _, t := range g.settings.Teams {
		peak := totals.Teams[t.Name].Peak
		report.TeamPeaks[t.Name] = peak
		if peak > t.Limit {
			report.OverLimit = append(report.OverLimit, fmt.Sprintf("%s ran %d of %d", t.Name, peak, t.Limit))
		}
	}
	var err error
	if report.FalseNotRun, err = g.countRan(g.notRunIDs); err != nil {
		return report, err
	}
	report.FirstAttemptRan, err = g.countRan(g.notRunAfterRetryIDs)
	return report, err
}

// countRan returns how many of the requests were run by any target.
func (g *Generator) countRan(requests []string) (int, error) {
	counts, err := g.fetchRunCounts(requests)
	ran := 0
	for _, count := range counts {
		if count > 0 {
			ran++
		}
	}
	return ran, err
}

// fetchRunCounts asks the stand-in how often each of the requests was run by any target.
func (g *Generator) fetchRunCounts(requests []string) (map[string]int, error) {
	body, err := json.Marshal(requests)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + g.settings.Standin + fake.RunCountsPath)
	req.SetBodyRaw(body)
	counts := map[string]int{}
	err = fasthttp.DoTimeout(req, resp, g.settings.BurstDuration)
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
