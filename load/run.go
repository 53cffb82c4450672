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

// Run is a load run and its state.
type Run struct {
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

// New returns a run that writes its progress to the given writer, which may be nil.
func New(settings Settings, progress io.Writer) *Run {
	return &Run{
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

// Do sends the whole load, waits for all outcomes and returns the report.
func (r *Run) Do() (Report, error) {
	r.started = time.Now()
	stopSampling := make(chan struct{})
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		runEvery(sampleInterval, stopSampling, r.takeSample)
	}()
	go runEvery(healthCheckInterval, stopSampling, r.checkHealth)
	r.sendAll()
	close(stopSampling)
	<-sampled
	r.inFlight.Wait()
	return r.finalReport()
}

// sendAll starts requests at the scheduled rate, without waiting for earlier ones to end.
func (r *Run) sendAll() {
	// dueRequests holds the number of requests that each queue has still to start; a fraction is kept for the next tick.
	dueRequests := make([]float64, len(r.settings.Queues))
	last := r.started
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		elapsed := now.Sub(r.started)
		if elapsed > r.settings.Duration {
			return
		}
		for i, q := range r.settings.Queues {
			dueRequests[i] += r.rate(i, elapsed) * now.Sub(last).Seconds()
			for ; dueRequests[i] >= 1; dueRequests[i]-- {
				r.startRequest(q)
			}
		}
		last = now
		r.showProgress(elapsed)
	}
}

// rate returns the rate of a queue, in requests per second, at a time of the load run. One queue at a time sends at its
// mean rate times BurstFactor, and all others at their mean rate times RestFactor.
func (r *Run) rate(queue int, elapsed time.Duration) float64 {
	mean := r.settings.Queues[queue].MeanRate
	if r.burstingQueue(elapsed) == queue {
		return mean * r.settings.BurstFactor
	}
	return mean * r.settings.RestFactor
}

// burstingQueue returns the index of the queue that bursts at a time of the load run. The queues burst one after the
// other, each for BurstDuration.
func (r *Run) burstingQueue(elapsed time.Duration) int {
	return int(elapsed/r.settings.BurstDuration) % len(r.settings.Queues)
}

func (r *Run) showProgress(elapsed time.Duration) {
	if r.progress == nil || elapsed.Milliseconds()%1000 >= scheduleInterval.Milliseconds() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.progress, "\r%4.0fs sent %d answered %d", elapsed.Seconds(), r.report.Sent, r.answered)
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

func (r *Run) startRequest(q QueueSettings) {
	id := uuid.Must(uuid.NewV7()).String()
	runTime := q.MeanRunTime/2 + time.Duration(r.random.Int64N(int64(q.MeanRunTime)+1))
	body, _ := json.Marshal(fake.RequestBody{RunMs: int(runTime.Milliseconds()), Payload: id})
	req := request{
		queue:      q,
		team:       r.pickTeam(),
		id:         id,
		atMostOnce: r.random.IntN(percent) < q.AtMostOncePercent,
		entryIndex: r.random.Uint64(),
		body:       body,
	}
	r.mu.Lock()
	r.report.Sent++
	r.mu.Unlock()
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Done()
		r.changeOutstanding(req, 1)
		defer r.changeOutstanding(req, -1)
		r.sendWithRetry(req)
	}()
}

// pickTeam chooses a team at random, weighted by LoadWeight.
func (r *Run) pickTeam() TeamSettings {
	totalWeight := 0
	for _, t := range r.settings.Teams {
		totalWeight += t.LoadWeight
	}
	n := r.random.IntN(max(totalWeight, 1))
	for _, t := range r.settings.Teams {
		if n < t.LoadWeight {
			return t
		}
		n -= t.LoadWeight
	}
	return r.settings.Teams[0]
}

// changeOutstanding adds delta to the number of the team's requests that were sent to the pool and have no outcome yet.
func (r *Run) changeOutstanding(req request, delta int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outstandingByPool[req.queue.Pool] == nil {
		r.outstandingByPool[req.queue.Pool] = map[string]int{}
	}
	r.outstandingByPool[req.queue.Pool][req.team.Name] += delta
}

// sendWithRetry sends a request and records its outcome. If there was no reply, it sends an idempotent request a second
// time, as callers do, and chooses the next entry process for it.
func (r *Run) sendWithRetry(req request) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	start := time.Now()
	err := r.sendOnce(req, resp)
	if err != nil && !req.atMostOnce {
		req.retried = true
		req.entryIndex++
		err = r.sendOnce(req, resp)
	}
	r.recordOutcome(req, resp, err, time.Since(start))
}

// sendOnce makes one attempt to send the request, and waits for the reply at most one second longer than the queue's
// Timeout.
func (r *Run) sendOnce(req request, resp *fasthttp.Response) error {
	httpReq := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpReq)
	httpReq.Header.SetMethod(fasthttp.MethodPost)
	httpReq.SetRequestURI("http://" + r.pickEntry(req) + entry.QueuesPath + req.queue.Name + entry.RequestsPath)
	httpReq.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+req.team.Key)
	httpReq.Header.Set(entry.HeaderRequestID, req.id)
	if !req.atMostOnce {
		httpReq.Header.Set(entry.HeaderIdempotent, "true")
	}
	httpReq.SetBodyRaw(req.body)
	return r.client.DoTimeout(httpReq, resp, req.queue.Timeout+time.Second)
}

// refusal holds the fields of a refusal's body that are used.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// recordOutcome records the outcome of the last attempt; latency is the time since the start of the first attempt.
func (r *Run) recordOutcome(req request, resp *fasthttp.Response, err error, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.report.Outcomes["noReply"]++
		r.recordIdempotent(req, false)
		return
	}
	outcome := string(resp.Header.Peek(entry.HeaderOutcome))
	if outcome != entry.OutcomeAnswered {
		var body refusal
		// If the body isn't JSON, the reason is counted as empty.
		_ = json.Unmarshal(resp.Body(), &body)
		r.report.Outcomes[outcome+" "+body.Reason]++
		if outcome == entry.OutcomeNotRun && req.retried {
			r.notRunAfterRetryIDs = append(r.notRunAfterRetryIDs, req.id)
		} else if outcome == entry.OutcomeNotRun {
			r.notRunIDs = append(r.notRunIDs, req.id)
		}
		if outcome == entry.OutcomeUnknown {
			r.recordIdempotent(req, false)
		}
		return
	}
	r.recordAnswer(req, resp, latency)
}

// recordAnswer records a request that a target answered, and checks that the answer belongs to this request.
func (r *Run) recordAnswer(req request, resp *fasthttp.Response, latency time.Duration) {
	if resp.StatusCode() != fasthttp.StatusOK {
		r.report.Outcomes[fmt.Sprintf("answered %d", resp.StatusCode())]++
		r.recordIdempotent(req, false)
		return
	}
	var result fake.ResponseBody
	if err := json.Unmarshal(resp.Body(), &result); err != nil || result.Request != req.id || result.Payload != req.id {
		r.report.CrossedAnswers++
		return
	}
	r.report.Outcomes[entry.OutcomeAnswered]++
	r.answered++
	r.recordIdempotent(req, true)
	_ = r.latency.RecordValue(latency.Microseconds())
	var body fake.RequestBody
	_ = json.Unmarshal(req.body, &body)
	if req.queue.Urgent {
		_ = r.urgentWait.RecordValue(max((latency - time.Duration(body.RunMs)*time.Millisecond).Microseconds(), minLatencyUs))
	}
}

// recordIdempotent counts an idempotent request as admitted, and as answered if the answer was correct. It is not called
// for requests that were refused as not run, because they were not admitted. Until finalReport converts it to a
// percentage, IdempotentPercent holds the number of correct answers.
func (r *Run) recordIdempotent(req request, answeredCorrectly bool) {
	if req.atMostOnce {
		return
	}
	r.admittedIdempotent++
	if answeredCorrectly {
		r.report.IdempotentPercent++
	}
}
