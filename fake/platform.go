package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fasthttp/router"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/logapi"
)

// Paths of the stand-in's control interface.
const (
	FaultsPath    = "/v1/faults"
	TotalsPath    = "/v1/totals"
	RunCountsPath = "/v1/ran"
)

// Platform is the stand-in with all its HTTP servers.
type Platform struct {
	settings Settings
	tracker  *tracker

	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	hosts   []logapi.HostStatus

	servers []*fasthttp.Server
	serving sync.WaitGroup
}

// New returns a stand-in that does not listen yet.
func New(settings Settings) *Platform {
	return &Platform{settings: settings, tracker: newTracker(), streams: map[string]*stream{}}
}

// Start listens on all addresses of the settings and serves them in the background.
func (p *Platform) Start() error {
	control := &fasthttp.Server{Handler: p.router().Handler, NoDefaultServerHeader: true, MaxRequestBodySize: maxBodyBytes, Logger: discardLogger{}}
	if err := p.listen(p.settings.Listen, control, control.Serve); err != nil {
		return err
	}
	for _, h := range p.settings.Hosts {
		e := newExecutor(h.Name, h.Pool, h.Slots, h.Connections, p.tracker, func() TargetFault { return p.Faults().Targets[h.Name] })
		if err := p.listen(h.Address, e.server, e.serve); err != nil {
			return err
		}
		p.hosts = append(p.hosts, logapi.HostStatus{Name: h.Name, Zone: h.Zone, Rack: h.Rack, Address: h.Address, State: logapi.HostLive})
	}
	return nil
}

func (p *Platform) listen(address string, server *fasthttp.Server, serve func(net.Listener) error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err, "listening on %s", address)
	}
	p.servers = append(p.servers, server)
	p.serving.Add(1)
	go func() {
		defer p.serving.Done()
		_ = serve(l)
	}()
	return nil
}

// Stop closes all listeners and waits for running requests, but not longer than until ctx ends.
func (p *Platform) Stop(ctx context.Context) {
	for _, server := range p.servers {
		_ = server.ShutdownWithContext(ctx)
	}
	p.serving.Wait()
}

// Hosts returns the settings of all hosts.
func (p *Platform) Hosts() []HostSettings { return p.settings.Hosts }

// Faults returns the faults that are injected now.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults that are injected.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Totals returns the counts of all executors.
func (p *Platform) Totals() Totals { return p.tracker.totals() }

// RunCounts returns how often each of the requests was run, by request ID.
func (p *Platform) RunCounts(requests []string) map[string]int { return p.tracker.runCounts(requests) }

func (p *Platform) router() *router.Router {
	r := router.New()
	r.POST(logapi.StreamsPath+"{stream}"+logapi.RecordsPath, p.withPlatformFaults(p.append))
	r.GET(logapi.StreamsPath+"{stream}"+logapi.RecordsPath, p.withPlatformFaults(p.readStream))
	r.GET(logapi.HostsPath, p.withPlatformFaults(p.listHosts))
	r.GET(FaultsPath, func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, p.Faults()) })
	r.POST(FaultsPath, p.replaceFaults)
	r.GET(TotalsPath, func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, p.Totals()) })
	r.POST(RunCountsPath, p.replyRunCounts)
	return r
}

// withPlatformFaults wraps a handler so that it fails while the log is down or the caller's network is blocked.
func (p *Platform) withPlatformFaults(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		faults := p.Faults()
		if faults.LogDown || faults.blocks(ctx.RemoteAddr()) {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		next(ctx)
	}
}

// stream returns the stream that the request path names, and creates it on first use.
func (p *Platform) stream(ctx *fasthttp.RequestCtx) *stream {
	name, _ := ctx.UserValue("stream").(string)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams[name] == nil {
		p.streams[name] = newStream(p.settings.RetainedEntries)
	}
	return p.streams[name]
}

func (p *Platform) append(ctx *fasthttp.RequestCtx) {
	time.Sleep(time.Duration(p.Faults().LogDelayMs) * time.Millisecond)
	data := append([]byte(nil), ctx.PostBody()...)
	offset := p.stream(ctx).append(data)
	if p.takeLostReply() {
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		return
	}
	writeJSON(ctx, logapi.AppendReply{Offset: offset})
}

// takeLostReply reports whether the reply to this append must be lost, and if so decrements LoseAppendReplies.
func (p *Platform) takeLostReply() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAppendReplies == 0 {
		return false
	}
	p.faults.LoseAppendReplies--
	return true
}

func (p *Platform) readStream(ctx *fasthttp.RequestCtx) {
	from, err := ctx.QueryArgs().GetUint("from")
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	waitMs, err := ctx.QueryArgs().GetUint("waitMs")
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	page := p.stream(ctx).read(int64(from), time.Duration(waitMs)*time.Millisecond)
	// A read that was already waiting when a fault was set fails as well.
	if faults := p.Faults(); faults.LogDown || faults.blocks(ctx.RemoteAddr()) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	writeJSON(ctx, page)
}

// listHosts answers with the host list, in which the hosts of Faults.LeavingHosts are marked as leaving.
func (p *Platform) listHosts(ctx *fasthttp.RequestCtx) {
	leaving := p.Faults().LeavingHosts
	hosts := slices.Clone(p.hosts)
	for i := range hosts {
		if slices.Contains(leaving, hosts[i].Name) {
			hosts[i].State = logapi.HostLeaving
		}
	}
	writeJSON(ctx, hosts)
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(ctx.Response.Body()), 16))
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == tag {
		ctx.Response.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	}
}

func (p *Platform) replaceFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	writeJSON(ctx, f)
}

func (p *Platform) replyRunCounts(ctx *fasthttp.RequestCtx) {
	var requests []string
	if err := json.Unmarshal(ctx.PostBody(), &requests); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	writeJSON(ctx, p.RunCounts(requests))
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
