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
	notRunIDs         []string
	// notRunAfterRetryIDs holds the calls whose first copy got no reply and whose second copy was refused as not run.
	notRunAfterRetryIDs []string
	answered            int
	admittedIdempotent  int
	samples             []sample
	healthyEntries      []string
	requests            sync.WaitGroup
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

// scheduleInterval is how often due requests are started.
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
	r.requests.Wait()
	return r.finalReport()
}

// sendAll starts requests at the scheduled rate, without waiting for earlier ones to end.
func (r *Run) sendAll() {
	due := make([]float64, len(r.settings.Queues))
	last := r.started
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		elapsed := now.Sub(r.started)
		if elapsed > r.settings.Duration {
			return
		}
		for i, q := range r.settings.Queues {
			due[i] += r.rate(i, elapsed) * now.Sub(last).Seconds()
			for ; due[i] >= 1; due[i]-- {
				r.startCall(q)
			}
		}
		last = now
		r.showProgress(elapsed)
	}
}

// rate returns the rate of a queue at a time of the run. The queues take turns at a burst, during which the others send
// at a low rate.
func (r *Run) rate(queue int, elapsed time.Duration) float64 {
	mean := r.settings.Queues[queue].MeanRate
	if r.burstingQueue(elapsed) == queue {
		return mean * r.settings.BurstFactor
	}
	return mean * r.settings.RestFactor
}

// burstingQueue returns the index of the queue that bursts at a time of the run.
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

// call is one request of the load; it may be sent twice.
type call struct {
	queue      QueueSettings
	team       TeamSettings
	id         string
	atMostOnce bool
	// entryChoice is the number by which pickEntry chooses an entry process.
	entryChoice uint64
	// retried means that the first copy got no reply, so that only the outcome of the second copy is known.
	retried bool
	body    []byte
}

func (r *Run) startCall(q QueueSettings) {
	id := uuid.Must(uuid.NewV7()).String()
	runTime := q.MeanRunTime/2 + time.Duration(r.random.Int64N(int64(q.MeanRunTime)+1))
	body, _ := json.Marshal(fake.RequestBody{RunMs: int(runTime.Milliseconds()), Payload: id})
	c := call{
		queue:       q,
		team:        r.pickTeam(),
		id:          id,
		atMostOnce:  r.random.IntN(percent) < q.AtMostOncePercent,
		entryChoice: r.random.Uint64(),
		body:        body,
	}
	r.mu.Lock()
	r.report.Sent++
	r.mu.Unlock()
	r.requests.Add(1)
	go func() {
		defer r.requests.Done()
		r.addOutstanding(c, 1)
		defer r.addOutstanding(c, -1)
		r.sendWithRetry(c)
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

// addOutstanding changes the number of a team's requests that are waiting or running at a pool.
func (r *Run) addOutstanding(c call, delta int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outstandingByPool[c.queue.Pool] == nil {
		r.outstandingByPool[c.queue.Pool] = map[string]int{}
	}
	r.outstandingByPool[c.queue.Pool][c.team.Name] += delta
}

// sendWithRetry sends a call and records its outcome. Like real callers, it sends an idempotent request once more if
// there was no reply.
func (r *Run) sendWithRetry(c call) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	start := time.Now()
	err := r.sendOnce(c, resp)
	if err != nil && !c.atMostOnce {
		c.retried = true
		c.entryChoice++
		err = r.sendOnce(c, resp)
	}
	r.recordOutcome(c, resp, err, time.Since(start))
}

func (r *Run) sendOnce(c call, resp *fasthttp.Response) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + r.pickEntry(c) + entry.QueuesPath + c.queue.Name + entry.RequestsPath)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.team.Key)
	req.Header.Set(entry.HeaderRequestID, c.id)
	if !c.atMostOnce {
		req.Header.Set(entry.HeaderIdempotent, "true")
	}
	req.SetBodyRaw(c.body)
	return r.client.DoTimeout(req, resp, c.queue.Timeout+time.Second)
}

// refusal is the part of a refusal's body that the run evaluates.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

func (r *Run) recordOutcome(c call, resp *fasthttp.Response, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.report.Outcomes["noReply"]++
		r.recordIdempotent(c, false)
		return
	}
	outcome := string(resp.Header.Peek(entry.HeaderOutcome))
	if outcome != entry.OutcomeAnswered {
		var body refusal
		// If the body isn't JSON, the reason is counted as empty.
		_ = json.Unmarshal(resp.Body(), &body)
		r.report.Outcomes[outcome+" "+body.Reason]++
		if outcome == entry.OutcomeNotRun && c.retried {
			r.notRunAfterRetryIDs = append(r.notRunAfterRetryIDs, c.id)
		} else if outcome == entry.OutcomeNotRun {
			r.notRunIDs = append(r.notRunIDs, c.id)
		}
		if outcome == entry.OutcomeUnknown {
			r.recordIdempotent(c, false)
		}
		return
	}
	r.recordAnswer(c, resp, took)
}

func (r *Run) recordAnswer(c call, resp *fasthttp.Response, took time.Duration) {
	if resp.StatusCode() != fasthttp.StatusOK {
		r.report.Outcomes[fmt.Sprintf("answered %d", resp.StatusCode())]++
		r.recordIdempotent(c, false)
		return
	}
	var result fake.ResponseBody
	if err := json.Unmarshal(resp.Body(), &result); err != nil || result.Request != c.id || result.Payload != c.id {
		r.report.CrossedAnswers++
		return
	}
	r.report.Outcomes[entry.OutcomeAnswered]++
	r.answered++
	r.recordIdempotent(c, true)
	_ = r.latency.RecordValue(took.Microseconds())
	var work fake.RequestBody
	_ = json.Unmarshal(c.body, &work)
	if c.queue.Urgent {
		_ = r.urgentWait.RecordValue(max((took - time.Duration(work.RunMs)*time.Millisecond).Microseconds(), minLatencyUs))
	}
}

// recordIdempotent counts an admitted idempotent request. Requests refused as not run don't count as admitted. Until the
// end of the run, IdempotentPercent holds the number of answers; finalReport converts it to a percentage.
func (r *Run) recordIdempotent(c call, answered bool) {
	if c.atMostOnce {
		return
	}
	r.admittedIdempotent++
	if answered {
		r.report.IdempotentPercent++
	}
}
