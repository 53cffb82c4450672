package load

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/fake"
)

// Range and precision of the latency histograms.
const (
	minLatencyUs      = 1
	maxLatencyUs      = 3_600_000_000
	significantDigits = 3
)

// Generator sends the load of one load run and records the outcomes.
type Generator struct {
	settings Settings
	client   *fasthttp.Client
	progress io.Writer
	random   *rand.Rand
	started  time.Time

	mu                sync.Mutex
	report            Report
	latency           *hdrhistogram.Histogram
	urgentWait        *hdrhistogram.Histogram
	outstandingByPool map[string]map[string]int
	// notRunIDs holds the requests that were sent once and refused as not run; a run of any of them is a violation.
	notRunIDs []string
	// notRunAfterRetryIDs holds the requests whose first attempt got no reply and whose second attempt was refused as not run.
	notRunAfterRetryIDs []string
	answered            int
	admittedIdempotent  int
	samples             []sample
	healthyEntries      []string
	// inFlight counts the requests whose outcome is not recorded yet.
	inFlight sync.WaitGroup
}

// New returns a generator that writes its progress to the given writer, which may be nil.
func New(settings Settings, progress io.Writer) *Generator {
	return &Generator{
		settings: settings,
		progress: progress,
		client: &fasthttp.Client{
			MaxConnsPerHost: maxRate,
			RetryIf:         func(*fasthttp.Request) bool { return false },
		},
		random:            rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		report:            Report{Outcomes: map[string]int{}, TeamPeaks: map[string]int{}},
		latency:           hdrhistogram.New(minLatencyUs, maxLatencyUs, significantDigits),
		urgentWait:        hdrhistogram.New(minLatencyUs, maxLatencyUs, significantDigits),
		outstandingByPool: map[string]map[string]int{},
	}
}

// scheduleInterval is how often the requests that have become due are started.
const scheduleInterval = 5 * time.Millisecond

// Run sends the whole load, waits for all outcomes and returns the report; it must be called only once.
func (g *Generator) Run() (Report, error) {
	g.started = time.Now()
	stopSampling := make(chan struct{})
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		runEvery(sampleInterval, stopSampling, g.takeSample)
	}()
	go runEvery(healthCheckInterval, stopSampling, g.checkHealth)
	g.sendAll()
	close(stopSampling)
	<-sampled
	g.inFlight.Wait()
	return g.finalReport()
}

// sendAll starts requests at the scheduled rate, without waiting for earlier ones to end.
func (g *Generator) sendAll() {
	// dueRequests holds the number of requests that each queue has still to start; a fraction is kept for the next tick.
	dueRequests := make([]float64, len(g.settings.Queues))
	last := g.started
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		elapsed := now.Sub(g.started)
		if elapsed > g.settings.Duration {
			return
		}
		for i, q := range g.settings.Queues {
			dueRequests[i] += g.rate(i, elapsed) * now.Sub(last).Seconds()
			for ; dueRequests[i] >= 1; dueRequests[i]-- {
				g.startRequest(q)
			}
		}
		last = now
		g.showProgress(elapsed)
	}
}

// rate returns the rate of a queue, in requests per second, at a time of the load run. One queue at a time sends at its
// mean rate times BurstFactor, and all others at their mean rate times RestFactor.
func (g *Generator) rate(queue int, elapsed time.Duration) float64 {
	mean := g.settings.Queues[queue].MeanRate
	if g.burstingQueue(elapsed) == queue {
		return mean * g.settings.BurstFactor
	}
	return mean * g.settings.RestFactor
}

// burstingQueue returns the index of the queue that bursts at a time of the load run. The queues burst one after the
// other, each for BurstDuration.
func (g *Generator) burstingQueue(elapsed time.Duration) int {
	return int(elapsed/g.settings.BurstDuration) % len(g.settings.Queues)
}

// showProgress prints the counts once per second.
func (g *Generator) showProgress(elapsed time.Duration) {
	if g.progress == nil || elapsed.Milliseconds()%1000 >= scheduleInterval.Milliseconds() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	fmt.Fprintf(g.progress, "\r%4.0fs sent %d answered %d", elapsed.Seconds(), g.report.Sent, g.answered)
}

// request is one request of the load. It is sent in one attempt or in two, which have the same request ID.
type request struct {
	queue      QueueSettings
	team       TeamSettings
	id         string
	atMostOnce bool
	// entryIndex, modulo the number of entry processes to choose from, is the index of the one that gets the next attempt.
	entryIndex uint64
	// retried means that the first attempt got no reply, so that only the outcome of the second attempt is known.
	retried bool
	body    []byte
}

// startRequest sends a request to the queue in the background. Its run time is chosen at random between half and one and
// a half times the mean.
func (g *Generator) startRequest(q QueueSettings) {
	id := uuid.Must(uuid.NewV7()).String()
	runTime := q.MeanRunTime/2 + time.Duration(g.random.Int64N(int64(q.MeanRunTime)+1))
	body, _ := json.Marshal(fake.RequestBody{RunMs: int(runTime.Milliseconds()), Payload: id})
	req := request{
		queue:      q,
		team:       g.pickTeam(),
		id:         id,
		atMostOnce: g.random.IntN(percent) < q.AtMostOncePercent,
		entryIndex: g.random.Uint64(),
		body:       body,
	}
	g.mu.Lock()
	g.report.Sent++
	g.mu.Unlock()
	g.inFlight.Add(1)
	go func() {
		defer g.inFlight.Done()
		g.changeOutstanding(req, 1)
		defer g.changeOutstanding(req, -1)
		g.sendWithRetry(req)
	}()
}

// pickTeam chooses a team at random, weighted by LoadWeight.
func (g *Generator) pickTeam() TeamSettings {
	totalWeight := 0
	for _, t := range g.settings.Teams {
		totalWeight += t.LoadWeight
	}
	n := g.random.IntN(max(totalWeight, 1))
	for _, t := range g.settings.Teams {
		if n < t.LoadWeight {
			return t
		}
		n -= t.LoadWeight
	}
	return g.settings.Teams[0]
}

// changeOutstanding adds delta to the number of the team's requests that were sent to the pool and have no outcome yet.
func (g *Generator) changeOutstanding(req request, delta int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.outstandingByPool[req.queue.Pool] == nil {
		g.outstandingByPool[req.queue.Pool] = map[string]int{}
	}
	g.outstandingByPool[req.queue.Pool][req.team.Name] += delta
}

// sendWithRetry sends a request and records its outcome. If there was no reply, it sends an idempotent request a second
// time, as callers do, and chooses the next entry process for it.
func (g *Generator) sendWithRetry(req request) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	start := time.Now()
	err := g.sendOnce(req, resp)
	if err != nil && !req.atMostOnce {
		req.retried = true
		req.entryIndex++
		err = g.sendOnce(req, resp)
	}
	g.recordOutcome(req, resp, err, time.Since(start))
}

// sendOnce makes one attempt to send the request, and waits for the reply at most one second longer than the queue's
// Timeout.
func (g *Generator) sendOnce(req request, resp *fasthttp.Response) error {
	httpReq := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpReq)
	httpReq.Header.SetMethod(fasthttp.MethodPost)
	httpReq.SetRequestURI("http://" + g.pickEntry(req) + entry.QueuesPath + req.queue.Name + entry.RequestsPath)
	httpReq.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+req.team.Key)
	httpReq.Header.Set(entry.HeaderRequestID, req.id)
	if !req.atMostOnce {
		httpReq.Header.Set(entry.HeaderIdempotent, "true")
	}
	httpReq.SetBodyRaw(req.body)
	return g.client.DoTimeout(httpReq, resp, req.queue.Timeout+time.Second)
}

// refusal holds the fields of a refusal's body that are used.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// recordOutcome records the outcome of the last attempt; latency is the time since the start of the first attempt.
func (g *Generator) recordOutcome(req request, resp *fasthttp.Response, err error, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.report.Outcomes["noReply"]++
		g.recordIdempotent(req, false)
		return
	}
	outcome := string(resp.Header.Peek(entry.HeaderOutcome))
	if outcome != entry.OutcomeAnswered {
		var body refusal
		// If the body isn't JSON, the reason is counted as empty.
		_ = json.Unmarshal(resp.Body(), &body)
		g.report.Outcomes[outcome+" "+body.Reason]++
		if outcome == entry.OutcomeNotRun && req.retried {
			g.notRunAfterRetryIDs = append(g.notRunAfterRetryIDs, req.id)
		} else if outcome == entry.OutcomeNotRun {
			g.notRunIDs = append(g.notRunIDs, req.id)
		}
		if outcome == entry.OutcomeUnknown {
			g.recordIdempotent(req, false)
		}
		return
	}
	g.recordAnswer(req, resp, latency)
}

// recordAnswer records a request that a target answered, and checks that the answer belongs to this request.
func (g *Generator) recordAnswer(req request, resp *fasthttp.Response, latency time.Duration) {
	if resp.StatusCode() != fasthttp.StatusOK {
		g.report.Outcomes[fmt.Sprintf("answered %d", resp.StatusCode())]++
		g.recordIdempotent(req, false)
		return
	}
	var result fake.ResponseBody
	if err := json.Unmarshal(resp.Body(), &result); err != nil || result.Request != req.id || result.Payload != req.id {
		g.report.CrossedAnswers++
		return
	}
	g.report.Outcomes[entry.OutcomeAnswered]++
	g.answered++
	g.recordIdempotent(req, true)
	_ = g.latency.RecordValue(latency.Microseconds())
	var body fake.RequestBody
	_ = json.Unmarshal(req.body, &body)
	if req.queue.Urgent {
		_ = g.urgentWait.RecordValue(max((latency - time.Duration(body.RunMs)*time.Millisecond).Microseconds(), minLatencyUs))
	}
}

// recordIdempotent counts an idempotent request as admitted, and as answered if the answer was correct. It is not called
// for requests that were refused as not run, because they were not admitted. Until finalReport converts it to a
// percentage, IdempotentPercent holds the number of correct answers.
func (g *Generator) recordIdempotent(req request, answeredCorrectly bool) {
	if req.atMostOnce {
		return
	}
	g.admittedIdempotent++
	if answeredCorrectly {
		g.report.IdempotentPercent++
	}
}
