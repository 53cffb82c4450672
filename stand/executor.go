package stand

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/conns"
)

// run is one request as an executor sees it.
type run struct {
	request string
	team    string
	pool    string
	once    bool
}

// RequestBody is the body that executors understand.
type RequestBody struct {
	// RunMs is how long the run takes.
	RunMs int `json:"runMs"`
	// Payload comes back with the answer.
	Payload string `json:"payload"`
}

// ResponseBody is the body that executors answer with.
type ResponseBody struct {
	Request string `json:"request"`
	Payload string `json:"payload"`
	Target  string `json:"target"`
}

// executor is the target on one host.
type executor struct {
	name        string
	pool        string
	slots       chan struct{}
	connections int
	tracker     *tracker
	faults      func() TargetFault
	server      *fasthttp.Server

	mu      sync.Mutex
	earlier string
}

func newExecutor(name, pool string, slots, connections int, b *tracker, faults func() TargetFault) *executor {
	e := &executor{name: name, pool: pool, slots: make(chan struct{}, slots), connections: connections, tracker: b, faults: faults}
	e.server = &fasthttp.Server{
		Handler:               e.handle,
		Concurrency:           connections,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		MaxRequestBodySize:    maxBody,
		Logger:                silent{},
	}
	return e
}

// maxBody bounds a request's body in bytes.
const maxBody = 16 << 20

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
	if fault.Draining || !e.take() {
		e.tracker.refuse()
		ctx.Response.Header.Set(conns.HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slots }()
	e.work(ctx, fault)
	e.corrupt(ctx, fault, attempt)
}

func (e *executor) take() bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (e *executor) work(ctx *fasthttp.RequestCtx, fault TargetFault) {
	header := &ctx.Request.Header
	r := run{
		request: string(header.Peek(conns.HeaderRequest)),
		team:    string(header.Peek(conns.HeaderTeam)),
		pool:    e.pool,
		once:    len(header.Peek(conns.HeaderOnce)) > 0,
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
	body, _ := json.Marshal(ResponseBody{Request: r.request, Payload: w.Payload, Target: e.name})
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// corrupt damages the answer as the fault says.
func (e *executor) corrupt(ctx *fasthttp.RequestCtx, fault TargetFault, attempt string) {
	e.mu.Lock()
	earlier := e.earlier
	e.earlier = attempt
	e.mu.Unlock()
	if fault.CrossedAnswers {
		ctx.Response.Header.Set(conns.HeaderAttempt, earlier)
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

// silent drops the server's own log lines, which faults would flood.
type silent struct{}

// Printf drops the line.
func (silent) Printf(string, ...any) {}
