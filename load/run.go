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
	"lavenderwing.example/lavenderwing/stand"
)

// Bounds of the recorded latencies in microseconds, and their precision in digits.
const (
	lowestLatency  = 1
	highestLatency = 3_600_000_000
	digits         = 3
)

// Run is one load run in progress.
type Run struct {
	settings Settings
	client   *fasthttp.Client
	progress io.Writer
	random   *rand.Rand
	started  time.Time

	mu          sync.Mutex
	report      Report
	latency     *hdrhistogram.Histogram
	wait        *hdrhistogram.Histogram
	outstanding map[string]map[string]int
	notRun      []string
	// secondNotRun holds calls refused as not run whose first copy got no reply.
	secondNotRun []string
	good         int
	idempotent   int
	samples      []sample
	healthy      []string
	wg           sync.WaitGroup
}

// New returns a run that shows its progress on the writer, which may be nil.
func New(settings Settings, progress io.Writer) *Run {
	return &Run{
		settings: settings,
		progress: progress,
		client: &fasthttp.Client{
			MaxConnsPerHost: mostRate,
			RetryIf:         func(*fasthttp.Request) bool { return false },
		},
		random:      rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		report:      Report{Outcomes: map[string]int{}, TeamPeaks: map[string]int{}},
		latency:     hdrhistogram.New(lowestLatency, highestLatency, digits),
		wait:        hdrhistogram.New(lowestLatency, highestLatency, digits),
		outstanding: map[string]map[string]int{},
	}
}

// step is the period of the open-loop schedule.
const step = 5 * time.Millisecond

// Do sends the whole load, waits for its outcomes and returns the report.
func (r *Run) Do() (Report, error) {
	r.started = time.Now()
	stopSampling := make(chan struct{})
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		every(samplePeriod, stopSampling, r.look)
	}()
	go every(checkPeriod, stopSampling, r.check)
	r.send()
	close(stopSampling)
	<-sampled
	r.wg.Wait()
	return r.finish()
}

// send starts requests at the scheduled rate whether or not earlier ones have ended.
func (r *Run) send() {
	owed := make([]float64, len(r.settings.Queues))
	last := r.started
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for now := range ticker.C {
		elapsed := now.Sub(r.started)
		if elapsed > r.settings.Duration {
			return
		}
		for i, q := range r.settings.Queues {
			owed[i] += r.rate(i, elapsed) * now.Sub(last).Seconds()
			for ; owed[i] >= 1; owed[i]-- {
				r.start(q)
			}
		}
		last = now
		r.showProgress(elapsed)
	}
}

// rate returns a queue's rate at a time of the run: each queue in turn bursts while the others rest.
func (r *Run) rate(queue int, elapsed time.Duration) float64 {
	mean := r.settings.Queues[queue].MeanRate
	if r.turn(elapsed) == queue {
		return mean * r.settings.BurstFactor
	}
	return mean * r.settings.RestFactor
}

func (r *Run) turn(elapsed time.Duration) int {
	return int(elapsed/r.settings.BurstDuration) % len(r.settings.Queues)
}

func (r *Run) showProgress(elapsed time.Duration) {
	if r.progress == nil || elapsed.Milliseconds()%1000 >= step.Milliseconds() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.progress, "\r%4.0fs sent %d answered %d", elapsed.Seconds(), r.report.Sent, r.good)
}

// call is one request that the run sends.
type call struct {
	queue QueueSettings
	team  TeamSettings
	id    string
	once  bool
	// pick chooses among the entry processes that the balancer finds healthy.
	pick uint64
	// again is set when an earlier copy of the call got no reply, so that only the second copy's outcome is known.
	again bool
	body  []byte
}

func (r *Run) start(q QueueSettings) {
	id := uuid.Must(uuid.NewV7()).String()
	run := q.MeanRunTime/2 + time.Duration(r.random.Int64N(int64(q.MeanRunTime)+1))
	body, _ := json.Marshal(stand.RequestBody{RunMs: int(run.Milliseconds()), Payload: id})
	c := call{
		queue: q,
		team:  r.pickTeam(),
		id:    id,
		once:  r.random.IntN(percent) < q.AtMostOncePercent,
		pick:  r.random.Uint64(),
		body:  body,
	}
	r.mu.Lock()
	r.report.Sent++
	r.mu.Unlock()
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.count(c, 1)
		defer r.count(c, -1)
		r.do(c)
	}()
}

func (r *Run) pickTeam() TeamSettings {
	parts := 0
	for _, t := range r.settings.Teams {
		parts += t.LoadWeight
	}
	n := r.random.IntN(max(parts, 1))
	for _, t := range r.settings.Teams {
		if n < t.LoadWeight {
			return t
		}
		n -= t.LoadWeight
	}
	return r.settings.Teams[0]
}

// count follows how many requests of a team are waiting or running at a pool.
func (r *Run) count(c call, delta int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outstanding[c.queue.Pool] == nil {
		r.outstanding[c.queue.Pool] = map[string]int{}
	}
	r.outstanding[c.queue.Pool][c.team.Name] += delta
}

// do sends a request; an idempotent one whose connection breaks is sent once more, as callers do.
func (r *Run) do(c call) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	began := time.Now()
	err := r.try(c, resp)
	if err != nil && !c.once {
		c.again = true
		c.pick++
		err = r.try(c, resp)
	}
	r.note(c, resp, err, time.Since(began))
}

func (r *Run) try(c call, resp *fasthttp.Response) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + r.entry(c) + entry.QueuesPath + c.queue.Name + entry.RequestsPath)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.team.Key)
	req.Header.Set(entry.HeaderRequestID, c.id)
	if !c.once {
		req.Header.Set(entry.HeaderIdempotent, "true")
	}
	req.SetBodyRaw(c.body)
	return r.client.DoTimeout(req, resp, c.queue.Timeout+time.Second)
}

// reply is what the run reads of a refusal.
type reply struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

func (r *Run) note(c call, resp *fasthttp.Response, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.report.Outcomes["noReply"]++
		r.countIdempotent(c, false)
		return
	}
	outcome := string(resp.Header.Peek(entry.HeaderOutcome))
	if outcome != entry.OutcomeAnswered {
		var said reply
		// A body that is no JSON shows as an empty reason.
		_ = json.Unmarshal(resp.Body(), &said)
		r.report.Outcomes[outcome+" "+said.Reason]++
		if outcome == entry.OutcomeNotRun && c.again {
			r.secondNotRun = append(r.secondNotRun, c.id)
		} else if outcome == entry.OutcomeNotRun {
			r.notRun = append(r.notRun, c.id)
		}
		if outcome == entry.OutcomeUnknown {
			r.countIdempotent(c, false)
		}
		return
	}
	r.noteAnswer(c, resp, took)
}

func (r *Run) noteAnswer(c call, resp *fasthttp.Response, took time.Duration) {
	if resp.StatusCode() != fasthttp.StatusOK {
		r.report.Outcomes[fmt.Sprintf("answered %d", resp.StatusCode())]++
		r.countIdempotent(c, false)
		return
	}
	var result stand.ResponseBody
	if err := json.Unmarshal(resp.Body(), &result); err != nil || result.Request != c.id || result.Payload != c.id {
		r.report.CrossedAnswers++
		return
	}
	r.report.Outcomes[entry.OutcomeAnswered]++
	r.good++
	r.countIdempotent(c, true)
	_ = r.latency.RecordValue(took.Microseconds())
	var work stand.RequestBody
	_ = json.Unmarshal(c.body, &work)
	if c.queue.Urgent {
		_ = r.wait.RecordValue(max((took - time.Duration(work.RunMs)*time.Millisecond).Microseconds(), lowestLatency))
	}
}

// countIdempotent counts admitted idempotent requests; those refused as not run were never admitted.
func (r *Run) countIdempotent(c call, good bool) {
	if c.once {
		return
	}
	r.idempotent++
	if good {
		r.report.IdempotentPercent++
	}
}
