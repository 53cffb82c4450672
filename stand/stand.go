package stand

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

	"lavenderwing.example/lavenderwing/plat"
)

// Paths of the stand-in's own control interface.
const (
	FaultsPath = "/v1/faults"
	TotalsPath = "/v1/totals"
	RunCountsPath    = "/v1/ran"
)

// Platform is a running stand-in.
type Platform struct {
	settings Settings
	tracker  *tracker

	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	hosts   []plat.HostStatus

	servers []*fasthttp.Server
	wait    sync.WaitGroup
}

// New returns a stand-in that is not listening yet.
func New(settings Settings) *Platform {
	return &Platform{settings: settings, tracker: newTracker(), streams: map[string]*stream{}}
}

// Start listens on all addresses of the settings.
func (s *Platform) Start() error {
	control := &fasthttp.Server{Handler: s.router().Handler, NoDefaultServerHeader: true, MaxRequestBodySize: maxBody, Logger: silent{}}
	if err := s.listen(s.settings.Listen, control, control.Serve); err != nil {
		return err
	}
	for _, h := range s.settings.Hosts {
		e := newExecutor(h.Name, h.Pool, h.Slots, h.Connections, s.tracker, func() TargetFault { return s.Faults().Targets[h.Name] })
		if err := s.listen(h.Address, e.server, e.serve); err != nil {
			return err
		}
		s.hosts = append(s.hosts, plat.HostStatus{Name: h.Name, Zone: h.Zone, Rack: h.Rack, Address: h.Address, State: plat.HostLive})
	}
	return nil
}

func (s *Platform) listen(address string, server *fasthttp.Server, serve func(net.Listener) error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err, "listening on %s", address)
	}
	s.servers = append(s.servers, server)
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		_ = serve(l)
	}()
	return nil
}

// Stop closes all listeners and waits for running requests until ctx ends.
func (s *Platform) Stop(ctx context.Context) {
	for _, server := range s.servers {
		_ = server.ShutdownWithContext(ctx)
	}
	s.wait.Wait()
}

// Hosts returns the settings of all hosts.
func (s *Platform) Hosts() []HostSettings { return s.settings.Hosts }

// Faults returns what is going wrong now.
func (s *Platform) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces what is going wrong.
func (s *Platform) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Totals returns what the executors saw.
func (s *Platform) Totals() Totals { return s.tracker.totals() }

// RunCounts returns how often each of the requests ran.
func (s *Platform) RunCounts(requests []string) map[string]int { return s.tracker.ran(requests) }

func (s *Platform) router() *router.Router {
	r := router.New()
	r.POST(plat.StreamsPath+"{stream}"+plat.RecordsPath, s.platform(s.append))
	r.GET(plat.StreamsPath+"{stream}"+plat.RecordsPath, s.platform(s.read))
	r.GET(plat.HostsPath, s.platform(s.list))
	r.GET(FaultsPath, func(ctx *fasthttp.RequestCtx) { reply(ctx, s.Faults()) })
	r.POST(FaultsPath, s.setFaults)
	r.GET(TotalsPath, func(ctx *fasthttp.RequestCtx) { reply(ctx, s.Totals()) })
	r.POST(RunCountsPath, s.ran)
	return r
}

// platform guards a handler with the faults of the platform.
func (s *Platform) platform(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		faults := s.Faults()
		if faults.LogDown || faults.cuts(ctx.RemoteAddr()) {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		next(ctx)
	}
}

func (s *Platform) stream(ctx *fasthttp.RequestCtx) *stream {
	name, _ := ctx.UserValue("stream").(string)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[name] == nil {
		s.streams[name] = newStream(s.settings.RetainedEntries)
	}
	return s.streams[name]
}

func (s *Platform) append(ctx *fasthttp.RequestCtx) {
	time.Sleep(time.Duration(s.Faults().LogDelayMs) * time.Millisecond)
	data := append([]byte(nil), ctx.PostBody()...)
	offset := s.stream(ctx).append(data)
	if s.loseAnswer() {
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		return
	}
	reply(ctx, plat.AppendReply{Offset: offset})
}

func (s *Platform) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAppendReplies == 0 {
		return false
	}
	s.faults.LoseAppendReplies--
	return true
}

func (s *Platform) read(ctx *fasthttp.RequestCtx) {
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
	page := s.stream(ctx).read(int64(from), time.Duration(waitMs)*time.Millisecond)
	// A reader that waited through the start of an outage gets no answer either.
	if faults := s.Faults(); faults.LogDown || faults.cuts(ctx.RemoteAddr()) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	reply(ctx, page)
}

// list answers with the host list, in which hosts that are leaving say so.
func (s *Platform) list(ctx *fasthttp.RequestCtx) {
	leaving := s.Faults().LeavingHosts
	hosts := slices.Clone(s.hosts)
	for i := range hosts {
		if slices.Contains(leaving, hosts[i].Name) {
			hosts[i].State = plat.HostLeaving
		}
	}
	reply(ctx, hosts)
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(ctx.Response.Body()), 16))
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == tag {
		ctx.Response.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	}
}

func (s *Platform) setFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	reply(ctx, f)
}

func (s *Platform) ran(ctx *fasthttp.RequestCtx) {
	var requests []string
	if err := json.Unmarshal(ctx.PostBody(), &requests); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	reply(ctx, s.RunCounts(requests))
}

func reply(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
