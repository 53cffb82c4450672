package agent

import (
	"net"
	"strconv"
	"time"

	"github.com/fasthttp/router"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
)

// Limits of the callers' side.
const (
	// maxBody bounds a request's body in bytes until a configuration says otherwise.
	maxBody = 256 << 10
	// defaultWait is how long a caller is taken to wait that does not say.
	defaultWait = 3 * time.Second
	// readyHeard is how recently the holder or the store must have answered for the process to take requests.
	readyHeard = 2500 * time.Millisecond
)

// listen opens the callers' and the balancer's ports.
func (a *Agent) listen() error {
	a.front = &fasthttp.Server{
		Handler: a.serve, MaxRequestBodySize: maxBody, NoDefaultServerHeader: true,
		NoDefaultDate: true, DisableHeaderNamesNormalizing: false, ReadBufferSize: 16 << 10,
		IdleTimeout: 15 * time.Second, ReadTimeout: 15 * time.Second, CloseOnShutdown: true,
	}
	for _, s := range []struct {
		address string
		server  *fasthttp.Server
	}{
		{a.settings.FrontAddress, a.front},
		{a.settings.ReadinessAddress, &fasthttp.Server{Handler: a.adminHandler(), NoDefaultServerHeader: true, NoDefaultDate: true}},
	} {
		l, err := listenTCP(s.address)
		if err != nil {
			return trace.Wrap(err)
		}
		go func() {
			if err := s.server.Serve(l); err != nil {
				a.log.Error("listener ended", zap.String("address", s.address), zap.Error(err))
			}
		}()
	}
	go a.serveMetrics()
	return nil
}

// serveMetrics opens the page of counters and latencies, without which the process serves as well.
func (a *Agent) serveMetrics() {
	if a.metricsPort == 0 || a.meters.page == nil {
		return
	}
	address := net.JoinHostPort(a.settings.IP, strconv.Itoa(a.metricsPort))
	l, err := listenTCP(address)
	if err != nil {
		a.log.Error("no metrics page", zap.Error(err))
		return
	}
	r := router.New()
	r.GET(metricsPath, fasthttpadaptor.NewFastHTTPHandler(a.meters.page))
	server := &fasthttp.Server{Handler: r.Handler, NoDefaultServerHeader: true}
	if err := server.Serve(l); err != nil {
		a.log.Error("metrics page ended", zap.Error(err))
	}
}

// metricsPath is where the metrics page is.
const metricsPath = "/metrics"

func (a *Agent) adminHandler() fasthttp.RequestHandler {
	r := router.New()
	r.GET(platform.ReadinessPath, func(ctx *fasthttp.RequestCtx) {
		if !a.isReady() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
	return r.Handler
}

// isReady reports whether the process can serve: it has a configuration and reaches the holder or the store.
func (a *Agent) isReady() bool {
	if a.config.Load() == nil || a.stopping.Load() {
		return false
	}
	now := a.clock.Now()
	a.mu.Lock()
	alive := a.holder != nil || a.watch.Alive(now)
	a.mu.Unlock()
	at := a.storeAt.Load()
	return alive || (at > 0 && now-time.Duration(at) < readyHeard)
}

func (a *Agent) serve(ctx *fasthttp.RequestCtx) {
	a.busy.Add(1)
	defer a.busy.Add(-1)
	if a.stopping.Load() {
		ctx.SetConnectionClose()
	}
	r, status, reason := a.read(ctx)
	if status != 0 {
		a.refuse(ctx, r, status, 0, reason)
		return
	}
	reply := a.ask(r)
	a.answer(ctx, r, reply)
}

// answer turns the outcome into the answer that callers get.
func (a *Agent) answer(ctx *fasthttp.RequestCtx, r *request, reply mesh.Reply) {
	switch reply.Outcome {
	case mesh.Answered:
		a.accepted(ctx, r, reply)
	case mesh.UnknownJob:
		a.refuse(ctx, r, fasthttp.StatusGone, 0, "no such job")
	case mesh.Denied:
		a.refuse(ctx, r, fasthttp.StatusForbidden, 0, "job of another team")
	case mesh.Overload:
		a.refuse(ctx, r, fasthttp.StatusTooManyRequests, max(reply.RetryMs, 1), reply.Cause)
	case mesh.Undecided:
		a.refuse(ctx, r, fasthttp.StatusGatewayTimeout, 0, reply.Cause)
	default:
		a.refuse(ctx, r, fasthttp.StatusServiceUnavailable, max(reply.RetryMs, 1), reply.Cause)
	}
}

func (a *Agent) accepted(ctx *fasthttp.RequestCtx, r *request, reply mesh.Reply) {
	a.meters.answered(r.question.Kind, a.clock.Now()-r.began)
	switch r.question.Kind {
	case mesh.Status:
		ctx.SetContentType("application/json")
		ctx.SetBodyString(platform.StateBody(reply.State))
	case mesh.Pending:
		ctx.SetContentType("application/json")
		ctx.SetBodyString(platform.PendingBody(reply.Pending))
	default:
		a.log.Info("request", zap.String("job", string(r.question.ID)), zap.String("queue", r.question.Queue), zap.String("team", r.question.Team),
			zap.ByteString("method", ctx.Method()), zap.Int64("version", r.version), zap.String("outcome", reply.Outcome.String()), zap.Duration("took", a.clock.Now()-r.began))
	}
}

// refuse answers with an error; retryMs says when to come back, if it helps.
func (a *Agent) refuse(ctx *fasthttp.RequestCtx, r *request, status int, retryMs int64, reason string) {
	a.meters.refused(status)
	if status == fasthttp.StatusServiceUnavailable && retryMs == 0 {
		retryMs = retryFirstMs
	}
	if retryMs > 0 {
		seconds := (retryMs + 999) / 1000
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBodyString(platform.ErrorBody(reason))
	a.log.Info("refused request", zap.String("job", string(r.question.ID)), zap.String("queue", r.question.Queue), zap.String("team", r.question.Team),
		zap.ByteString("method", ctx.Method()), zap.Int("status", status), zap.String("reason", reason), zap.Int64("version", r.version), zap.Duration("took", a.clock.Now()-r.began))
}

// retryFirstMs is when a caller should come back to a process that has no configuration yet.
const retryFirstMs = 1000
