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

	"lavenderwing.example/lavenderwing/accept"
	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
)

// Limits of the callers' API.
const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 256 << 10
	// defaultCallerTimeout applies to requests without platform.DeadlineHeader.
	defaultCallerTimeout = 3 * time.Second
	// readyStoreAge is how recently the store must have responded for a process that hears no holder to be ready.
	readyStoreAge = 2500 * time.Millisecond
)

// listen opens the ports for callers and for the load balancer's readiness checks.
func (a *Agent) listen() error {
	a.callerServer = &fasthttp.Server{
		Handler: a.serve, MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true,
		NoDefaultDate: true, DisableHeaderNamesNormalizing: false, ReadBufferSize: 16 << 10,
		IdleTimeout: 15 * time.Second, ReadTimeout: 15 * time.Second, CloseOnShutdown: true,
	}
	front, err := a.listenTCP(a.settings.FrontAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	a.front = front
	readiness, err := a.listenTCP(a.settings.ReadinessAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	go a.serveOn(a.callerServer, front)
	go a.serveOn(&fasthttp.Server{Handler: a.readinessHandler(), NoDefaultServerHeader: true, NoDefaultDate: true}, readiness)
	go a.serveMetrics()
	return nil
}

// serveOn serves until the listener is closed.
func (a *Agent) serveOn(server *fasthttp.Server, l net.Listener) {
	if err := server.Serve(l); err != nil {
		a.log.Error("server stopped serving", zap.Stringer("address", l.Addr()), zap.Error(err))
	}
}

// listenTCP returns a listener on the address that goes on after failed attempts to accept a connection.
func (a *Agent) listenTCP(address string) (*accept.Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", address)
	}
	return accept.New(l, a.reportAccepts(address)), nil
}

// reportAccepts logs when the listener on the address begins to fail, and when it accepts connections again.
func (a *Agent) reportAccepts(address string) accept.Option {
	return accept.WithReport(func(err error) {
		if err != nil {
			a.log.Error("cannot accept connections", zap.String("address", address), zap.Error(err))
			return
		}
		a.log.Info("connections are accepted again", zap.String("address", address))
	})
}

// serveMetrics serves the metrics page; a failure does not stop the process.
func (a *Agent) serveMetrics() {
	if a.metricsPort == 0 || a.meters.page == nil {
		return
	}
	address := net.JoinHostPort(a.settings.IP, strconv.Itoa(a.metricsPort))
	l, err := a.listenTCP(address)
	if err != nil {
		a.log.Error("cannot open the port of the metrics page", zap.Error(err))
		return
	}
	r := router.New()
	r.GET(metricsPath, fasthttpadaptor.NewFastHTTPHandler(a.meters.page))
	server := &fasthttp.Server{Handler: r.Handler, NoDefaultServerHeader: true}
	if err := server.Serve(l); err != nil {
		a.log.Error("metrics server stopped serving", zap.Error(err))
	}
}

// metricsPath is the path of the metrics page.
const metricsPath = "/metrics"

// readinessHandler answers readiness checks.
func (a *Agent) readinessHandler() fasthttp.RequestHandler {
	r := router.New()
	r.GET(platform.ReadinessPath, func(ctx *fasthttp.RequestCtx) {
		if !a.isReady() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
	return r.Handler
}

// isReady reports whether the process can serve callers: it has a configuration, is not stopping, accepts connections, is not isolated, and reaches the holder or the store.
func (a *Agent) isReady() bool {
	if a.config.Load() == nil || a.stopping.Load() || (a.front != nil && a.front.Failing()) || a.isolated() {
		return false
	}
	now := a.clock.Now()
	a.mu.Lock()
	alive := a.active != nil || a.detector.Alive(now)
	a.mu.Unlock()
	at := a.storeAnsweredAt.Load()
	return alive || (at > 0 && now-time.Duration(at) < readyStoreAge)
}

// serve handles a caller's request.
func (a *Agent) serve(ctx *fasthttp.RequestCtx) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	if a.stopping.Load() {
		ctx.SetConnectionClose()
	}
	if err := a.guard("a caller's request", func() { a.serveRequest(ctx) }); err != nil {
		// The request may have had effects before the panic.
		ctx.Response.Reset()
		a.refuse(ctx, &callerRequest{receivedAt: a.clock.Now()}, fasthttp.StatusGatewayTimeout, 0, "the process failed on this request")
	}
}

// serveRequest decodes a caller's request, has the holder handle it and responds.
func (a *Agent) serveRequest(ctx *fasthttp.RequestCtx) {
	r, status, reason := a.readRequest(ctx)
	if status != 0 {
		a.refuse(ctx, r, status, 0, reason)
		return
	}
	reply := a.askHolder(r)
	a.respond(ctx, r, reply)
}

// respond writes the HTTP response for the outcome of a request.
func (a *Agent) respond(ctx *fasthttp.RequestCtx, r *callerRequest, reply mesh.Reply) {
	switch reply.Outcome {
	case mesh.Answered:
		a.respondOK(ctx, r, reply)
	case mesh.UnknownJob:
		a.refuse(ctx, r, fasthttp.StatusGone, 0, "no such job")
	case mesh.Denied:
		a.refuse(ctx, r, fasthttp.StatusForbidden, 0, "job of another team")
	case mesh.Conflict:
		a.refuse(ctx, r, fasthttp.StatusConflict, 0, "the identifier is that of another team's job")
	case mesh.TooLarge:
		a.refuse(ctx, r, fasthttp.StatusRequestEntityTooLarge, 0, reply.Cause)
	case mesh.Overload:
		a.refuse(ctx, r, fasthttp.StatusTooManyRequests, max(reply.RetryMs, 1), reply.Cause)
	case mesh.Undecided:
		a.refuse(ctx, r, fasthttp.StatusGatewayTimeout, 0, reply.Cause)
	default:
		a.refuse(ctx, r, fasthttp.StatusServiceUnavailable, max(reply.RetryMs, 1), reply.Cause)
	}
}

// respondOK writes the response to a request that was answered.
func (a *Agent) respondOK(ctx *fasthttp.RequestCtx, r *callerRequest, reply mesh.Reply) {
	a.meters.recordLatency(r.request.Kind, a.clock.Now()-r.receivedAt)
	switch r.request.Kind {
	case mesh.Status:
		ctx.SetContentType("application/json")
		ctx.SetBodyString(platform.StateBody(reply.State))
	case mesh.Pending:
		ctx.SetContentType("application/json")
		ctx.SetBodyString(platform.PendingBody(reply.Pending))
	default:
		a.log.Info("request", zap.String("job", string(r.request.ID)), zap.String("queue", r.request.Queue), zap.String("team", r.request.Team),
			zap.ByteString("method", ctx.Method()), zap.Int64("version", r.version), zap.String("outcome", reply.Outcome.String()), zap.Duration("took", a.clock.Now()-r.receivedAt))
	}
}

// refuse writes an error response; retryMs above 0 is sent as Retry-After in whole seconds.
func (a *Agent) refuse(ctx *fasthttp.RequestCtx, r *callerRequest, status int, retryMs int64, reason string) {
	a.meters.countRefusal(status)
	if status == fasthttp.StatusServiceUnavailable && retryMs == 0 {
		retryMs = unreadyRetryAfterMs
	}
	if status == fasthttp.StatusServiceUnavailable && a.isolated() {
		// A new connection may reach another zone.
		ctx.SetConnectionClose()
	}
	if retryMs > 0 {
		seconds := (retryMs + 999) / 1000
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBodyString(platform.ErrorBody(reason))
	a.log.Info("refused request", zap.String("job", string(r.request.ID)), zap.String("queue", r.request.Queue), zap.String("team", r.request.Team),
		zap.ByteString("method", ctx.Method()), zap.Int("status", status), zap.String("reason", reason), zap.Int64("version", r.version), zap.Duration("took", a.clock.Now()-r.receivedAt))
}

// unreadyRetryAfterMs is how long a caller should wait before it retries after a 503 response that states no other time, such as that of a process without a configuration, in milliseconds.
const unreadyRetryAfterMs = 1000
