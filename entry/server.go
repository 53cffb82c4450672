package entry

import (
	"errors"
	"net"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"
)

// Paths of the HTTP interface.
const (
	QueuesPath   = "/v1/queues/"
	RequestsPath = "/requests"
	ChangesPath  = "/v1/changes"
	TablesPath   = "/v1/tables"
	StatusPath   = "/v1/status"
	TimelinePath = "/v1/timeline"
	MetricsPath  = "/metrics"
	HealthPath   = "/healthz"
)

func (n *Node) newServer() *fasthttp.Server {
	r := router.New()
	if n.settings.ForwardAddress != "" {
		r.POST(QueuesPath+"{queue}"+RequestsPath, n.forward)
	} else {
		r.POST(QueuesPath+"{queue}"+RequestsPath, n.serveRequest)
	}
	r.POST(ChangesPath, n.requireOperator(n.serveChange))
	r.GET(TablesPath, n.requireOperator(n.serveTables))
	r.GET(StatusPath, n.requireOperator(n.serveStatus))
	r.GET(TimelinePath, n.requireOperator(n.serveTimeline))
	r.GET(HealthPath, n.serveHealth)
	if n.metricsHandler != nil {
		r.GET(MetricsPath, fasthttpadaptor.NewFastHTTPHandler(n.metricsHandler))
	}
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		notRun(fasthttp.StatusNotFound, "noSuchPath", "there is nothing at this path").write(ctx)
	}
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		notRun(fasthttp.StatusMethodNotAllowed, "methodNotAllowed", "this path takes another method").write(ctx)
	}
	r.PanicHandler = func(ctx *fasthttp.RequestCtx, cause any) {
		n.log.Error("panic while handling a request", zap.Any("cause", cause), zap.Stack("stack"))
		unknown("internal", "the entry process failed on this request").withStatus(fasthttp.StatusInternalServerError).write(ctx)
	}
	return &fasthttp.Server{
		Handler:               r.Handler,
		ErrorHandler:          serveReadError,
		Name:                  "lavenderwing",
		Concurrency:           n.settings.MaxCallers,
		MaxRequestBodySize:    n.settings.MaxBodyBytes,
		ReadTimeout:           n.settings.ReadTimeout,
		WriteTimeout:          n.settings.ReadTimeout,
		IdleTimeout:           n.settings.ReadTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
}

// serveReadError replies to requests that could not be read.
func serveReadError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		notRun(fasthttp.StatusRequestEntityTooLarge, "bodyTooLarge", "the body is larger than this entry process takes").write(ctx)
	case errors.As(err, &small):
		notRun(fasthttp.StatusRequestHeaderFieldsTooLarge, "headerTooLarge", "the header is larger than this entry process takes").write(ctx)
	case errors.As(err, &network) && network.Timeout():
		notRun(fasthttp.StatusRequestTimeout, "tooSlow", "the request did not arrive in time").write(ctx)
	default:
		notRun(fasthttp.StatusBadRequest, "malformed", "the request is not well-formed HTTP").write(ctx)
	}
}

func (n *Node) serveHealth(ctx *fasthttp.RequestCtx) {
	if n.stopping.Load() || !n.ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok\n")
}

// ready reports whether this process has read the complete state and all claims.
func (n *Node) ready() bool { return n.stateTail.CaughtUp() && n.claimTail.CaughtUp() }

// discardLogger drops the log lines of the HTTP library, with which clients could flood the log.
type discardLogger struct{}

// Printf discards a log line.
func (discardLogger) Printf(string, ...any) {}
