package agent

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/lead"
	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/peer"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

// Names in the store; all are keyed topics, whose newest records are kept for good.
const (
	leadTopic = "lead"
	leadKey   = "holder"
	// jobsTopic holds accepted jobs: those that the holder takes, and those that others write past it.
	jobsTopic  = "jobs"
	holderPart = 0
	// directFirst is the first of the partitions for jobs that are written past the holder, by their identifiers: an undisturbed partition takes three hundred appends a second.
	directFirst = 1
	directParts = 4
	// progressTopic holds how far jobs and waves are; only the holder writes it.
	progressTopic = "progress"
)

// weakRanks is by how many ranks a weak process comes later, somewhat more than what strong ones need to notice a vacant place and claim it.
const weakRanks = 20

// weakShare is the part of a core below which a process leaves a vacant place to others first: a takeover reads and encodes every job.
const weakShare = 0.3

// rankOf spreads claims over as many ranks, about the number of processes on a small site.
const rankOf = 8

// Agent is the process on one entry host.
type Agent struct {
	settings work.Settings
	log      *zap.Logger
	clock    *clock
	store    *platform.StoreClient
	// direct has connections of its own, so that what callers submit past the holder does not keep a takeover from the store.
	direct        *platform.StoreClient
	directBreaker breaker
	peers         *mesh.Client
	server        *peer.Server
	meters        *meters
	// metricsPort is 0 where no page is served.
	metricsPort int
	address     string
	boot        string
	rank        int
	link        link

	config   atomic.Pointer[configState]
	stopping atomic.Bool
	// storeAt is when the store answered last.
	storeAt atomic.Int64
	front   *fasthttp.Server
	busy    atomic.Int64
	// kick wakes the watch over the holder.
	kick chan struct{}
	// load reads the settings again when reload asks for it.
	load   func() (work.Settings, error)
	reload <-chan os.Signal
	// loaded are the settings as they were read last.
	loaded work.Settings

	mu      sync.Mutex
	watch   *lead.FailureDetector
	holder  *Holder
	members map[string]member
	// membersOf is the holder that was asked for the members last, at membersAt.
	membersOf int64
	membersAt time.Duration
	wave      map[int64]work.Wave
	waveAt    map[int64]time.Duration
}

// member is another process as it was heard last.
type member struct {
	heardAt time.Duration
	// share is the part of a core that it may use.
	share float64
}

type configState struct {
	config *work.Config
	raw    []byte
	at     time.Duration
}

// Option changes how an Agent is built.
type Option func(*Agent)

// WithReload sets how the settings are read again and what asks for it.
func WithReload(load func() (work.Settings, error), ask <-chan os.Signal) Option {
	return func(a *Agent) { a.load, a.reload = load, ask }
}

// WithMetrics sets where counters and latencies go, and the page that shows them on the port.
func WithMetrics(scope tally.Scope, page http.Handler, port int) Option {
	return func(a *Agent) {
		a.meters = newMeters(scope, page)
		a.metricsPort = port
	}
}

// WithLogger sets where decisions are explained.
func WithLogger(l *zap.Logger) Option { return func(a *Agent) { a.log = l } }

// New returns the process for the settings.
func New(s work.Settings, opts ...Option) (*Agent, error) {
	a := &Agent{
		settings: s, loaded: s, log: zap.NewNop(), clock: newClock(), boot: uuid.NewString(),
		store:   platform.NewStoreClient(s.Store.Address),
		direct:  platform.NewStoreClient(s.Store.Address),
		kick:    make(chan struct{}, 1),
		members: map[string]member{}, wave: map[int64]work.Wave{}, waveAt: map[int64]time.Duration{},
	}
	for _, o := range opts {
		o(a)
	}
	if a.meters == nil {
		a.meters = newMeters(tally.NoopScope, nil)
	}
	a.link = newLink(s.LinkMbps)
	a.address = net.JoinHostPort(s.IP, strconv.Itoa(s.InternalPorts[0]))
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.Node))
	a.rank = int(h.Sum32() % rankOf)
	if s.CPUShare < weakShare {
		a.rank += weakRanks
	}
	a.watch = lead.NewFailureDetector(a.clock.Now())
	a.peers = mesh.NewClient(&a.meters.peerBytes)
	var err error
	a.server, err = mesh.NewServer(a, &a.meters.peerBytes)
	return a, trace.Wrap(err)
}

// Run serves until the context ends and then stops gracefully.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.server.Listen(a.address); err != nil {
		return trace.Wrap(err)
	}
	go a.server.Serve()
	if err := a.listen(); err != nil {
		return trace.Wrap(err)
	}
	a.log.Info("started", zap.String("node", a.settings.Node), zap.String("zone", a.settings.Zone), zap.String("boot", a.boot), zap.String("address", a.address))
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.tailOperator(work)
	go a.follow(work)
	a.reloadUntil(ctx)
	a.log.Info("stopping", zap.String("node", a.settings.Node))
	a.stop()
	cancel()
	a.log.Info("stopped", zap.String("node", a.settings.Node))
	return nil
}

// current returns the holder that runs in this process, if it is ready.
func (a *Agent) current() *Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder
}

// sleep waits and reports whether the context goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
