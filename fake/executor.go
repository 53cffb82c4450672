package fake

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/conns"
)

// run describes one execution of a request on an executor.
type run struct {
	requestID  string
	team       string
	pool       string
	atMostOnce bool
}

// RequestBody is the body of a request to an executor.
type RequestBody struct {
	// RunMs is how long the executor takes to run the request.
	RunMs int `json:"runMs"`
	// Payload is returned unchanged in the answer.
	Payload string `json:"payload"`
}

// ResponseBody is the body of an executor's answer.
type ResponseBody struct {
	Request string `json:"request"`
	Payload string `json:"payload"`
	Target  string `json:"target"`
}

// executor is the target on one host: it runs requests by sleeping, and injects the faults that are set for the host.
type executor struct {
	name        string
	pool        string
	slots       chan struct{}
	connections int
	tracker     *tracker
	faults      func() TargetFault
	server      *fasthttp.Server

	mu sync.Mutex
	// previousAttempt is the identifier of the attempt that was answered before the current one.
	previousAttempt string
}

func newExecutor(name, pool string, slots, connections int, t *tracker, faults func() TargetFault) *executor {
	e := &executor{name: name, pool: pool, slots: make(chan struct{}, slots), connections: connections, tracker: t, faults: faults}
	e.server = &fasthttp.Server{
		Handler:               e.handle,
		Concurrency:           connections,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		MaxRequestBodySize:    maxBodyBytes,
		Logger:                discardLogger{},
	}
	return e
}

// maxBodyBytes bounds the size of a request's body.
const maxBodyBytes = 16 << 20

func (e *executor) serve(l net.Listener) error { return e.server.Serve(l) }

func (e *executor) handle(ctx *fasthttp.RequestCtx) {
	fault := e.faults()
	if fault.CloseConnections {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	attempt := string(ctx.Request.Header.Peek(conns.HeaderAttempt))
	ctx.Response.Header.Set(conns.HeaderAttempt, attempt)
	if fault.Draining || !e.takeSlot() {
		e.tracker.countRefusal()
		ctx.Response.Header.Set(conns.HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slots }()
	e.execute(ctx, fault)
	e.corrupt(ctx, fault, attempt)
}

// takeSlot takes a slot if one is free.
func (e *executor) takeSlot() bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// execute runs the request and answers it. A run ends at the run limit of the request, as on a real target.
func (e *executor) execute(ctx *fasthttp.RequestCtx, fault TargetFault) {
	header := &ctx.Request.Header
	r := run{
		requestID:  string(header.Peek(conns.HeaderRequest)),
		team:       string(header.Peek(conns.HeaderTeam)),
		pool:       e.pool,
		atMostOnce: len(header.Peek(conns.HeaderOnce)) > 0,
	}
	e.tracker.start(r)
	defer e.tracker.finish(r)
	if fault.FailAll {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	var w RequestBody
	if err := json.Unmarshal(ctx.PostBody(), &w); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(string(header.Peek(conns.HeaderRunLimit)))
	if err != nil {
		limit = w.RunMs
	}
	time.Sleep(time.Duration(min(w.RunMs+fault.ExtraRunMs, limit)) * time.Millisecond)
	body, _ := json.Marshal(ResponseBody{Request: r.requestID, Payload: w.Payload, Target: e.name})
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// corrupt damages the answer if CrossedAnswers or TruncatedAnswers is set.
func (e *executor) corrupt(ctx *fasthttp.RequestCtx, fault TargetFault, attempt string) {
	e.mu.Lock()
	previous := e.previousAttempt
	e.previousAttempt = attempt
	e.mu.Unlock()
	if fault.CrossedAnswers {
		ctx.Response.Header.Set(conns.HeaderAttempt, previous)
	}
	if fault.TruncatedAnswers {
		answer := ctx.Response.String()
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) {
			_, _ = c.Write([]byte(answer[:len(answer)-1]))
			_ = c.Close()
		})
	}
}

// discardLogger drops the log lines of the HTTP server, because injected faults would flood the output with them.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}
