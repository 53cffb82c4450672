package entry

import (
	"context"
	"crypto/sha256"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/admit"
	"lavenderwing.example/lavenderwing/claim"
	"lavenderwing.example/lavenderwing/conns"
	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/follow"
	"lavenderwing.example/lavenderwing/peer"
	"lavenderwing.example/lavenderwing/plat"
	"lavenderwing.example/lavenderwing/seat"
)

// hashSize is the length of an operator token's hash in bytes.
const hashSize = sha256.Size

// Node is one entry process.
type Node struct {
	settings Settings
	platform plat.Log
	hostList plat.HostList
	clock    clockwork.Clock
	log      *zap.Logger
	metrics  tally.Scope
	// metricsPage is nil when metrics go nowhere.
	metricsPage MetricsHandler
	line        *event.Recorder
	// writerID stays the same through rejoins, because the writer's sequence does.
	writerID string

	writer      *follow.Writer
	claimWriter *follow.Writer
	state       *follow.State
	claims      *claim.Table
	answers     answers
	stateTail   *follow.Tail
	claimTail   *follow.Tail
	current     atomic.Pointer[view]

	// mu guards the tables below.
	mu      sync.Mutex
	rows    *admit.Table
	keeper  *seat.Session
	limited []limited
	// limitsOffset and limitsAt are where and when all teams were last looked at.
	limitsOffset int64
	limitsAt     time.Time
	budgets      map[admit.ServiceID]*admit.RetryBudget
	version      int64
	// seats are the live entry processes in order.
	seats []string
	// suspects holds when peers that did not answer were last asked.
	suspects   map[string]time.Time
	exchangers map[string]*exchanger
	// leaving holds the hosts that the platform says it takes away.
	leaving     map[string]bool
	heartbeatAt time.Time
	heartbeats  int

	allocators *allocators
	peers      *peer.Client
	peerBytes  atomic.Int64
	toldFresh  atomic.Int64

	poolMu sync.Mutex
	pools  map[string]*conns.Pool

	counters counters
	stopping atomic.Bool
	// killed nodes skip the graceful stop.
	killed   atomic.Bool
	listener atomic.Pointer[net.Listener]
	// serving counts requests that have no outcome yet.
	serving  atomic.Int64
	server   *fasthttp.Server
	attempts atomic.Uint64
}

// Option changes how a Node is built.
type Option func(*Node)

// WithClock replaces the real clock.
func WithClock(c clockwork.Clock) Option { return func(n *Node) { n.clock = c } }

// WithLogger sets where log lines go.
func WithLogger(l *zap.Logger) Option { return func(n *Node) { n.log = l } }

// MetricsHandler shows all metrics of the process.
type MetricsHandler http.Handler

// WithMetrics sets where metrics go and the page that shows them.
func WithMetrics(s tally.Scope, page MetricsHandler) Option {
	return func(n *Node) {
		n.metrics = s
		n.metricsPage = page
	}
}

// New returns a node that is not running yet.
func New(settings Settings, platform plat.Log, hosts plat.HostList, opts ...Option) *Node {
	id := newIncarnation()
	n := &Node{
		settings:   settings,
		platform:   platform,
		hostList:   hosts,
		clock:      clockwork.NewRealClock(),
		log:        zap.NewNop(),
		metrics:    tally.NoopScope,
		writerID:   writerOf(settings.Seat, id),
		answers:    newAnswers(),
		budgets:    map[admit.ServiceID]*admit.RetryBudget{},
		pools:      map[string]*conns.Pool{},
		suspects:   map[string]time.Time{},
		exchangers: map[string]*exchanger{},
	}
	for _, opt := range opts {
		opt(n)
	}
	n.line = event.NewRecorder(settings.Listen, settings.Zone, id, event.WithClock(n.clock))
	n.rows = admit.New(admit.WithHealthChanges(n.note))
	place := seat.Identity{Seat: settings.Seat, Zone: settings.Zone, Address: settings.Listen}
	n.keeper = seat.New(place, settings.LeaseDuration, id, newIncarnation)
	n.counters = newCounters(n.metrics)
	n.allocators = newAllocators(n.clock)
	n.peers = peer.NewClient(settings.Source, settings.PeerSecret, &n.peerBytes)
	n.follow()
	n.current.Store(viewOf(fold.New(), n.rows))
	n.server = n.newServer()
	return n
}

// follow builds the writers and tails of both streams.
func (n *Node) follow() {
	options := []follow.WriterOption{follow.WithAppendInterval(n.settings.AppendInterval), follow.WithClock(n.clock)}
	n.writer = follow.NewWriter(n.platform, plat.StateStream, n.writerID, options...)
	n.claimWriter = follow.NewWriter(n.platform, plat.ClaimStream, n.writerID, options...)
	n.state = follow.NewState(n.writer)
	n.state.Watch(n.configure)
	n.claims = claim.NewTable(n.settings.ClaimWindow, n.claimWriter)
	n.line.SetOffset(func() int64 { return n.state.Tables().Offset() })
	bad := func(offset int64, err error) {
		n.log.Error("log entry skipped", zap.Int64("offset", offset), zap.Error(err))
	}
	n.stateTail = follow.NewTail(n.platform, plat.StateStream, n.state, follow.WithTailClock(n.clock), follow.WithDecodeErrorHandler(bad),
		follow.WithOutOfRangeHandler(func(l *plat.OffsetOutOfRangeError) { n.line.Add(event.KindLog, l.Stream, "retention", l.Error()) }))
	n.claimTail = follow.NewTail(n.platform, plat.ClaimStream, n.claims, follow.WithTailClock(n.clock), follow.WithDecodeErrorHandler(bad),
		follow.WithOutOfRangeHandler(func(l *plat.OffsetOutOfRangeError) { n.claims.Skip(l.First) }))
}

func newIncarnation() string { return uuid.Must(uuid.NewV7()).String() }

func (n *Node) view() *view { return n.current.Load() }

func (n *Node) note(note admit.HealthChange) {
	n.line.Add(event.KindTarget, note.Target, "health", note.Change)
	n.counters.targets.Inc(1)
}

// configure carries new tables into admission when their configuration or membership changed.
func (n *Node) configure(t fold.Tables) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t.ConfigVersion() != n.version || n.version == 0 {
		n.version = t.ConfigVersion()
		n.layout(t)
		n.line.Add(event.KindConfig, "version", "log", strconv.FormatInt(n.version, 10)+" in force")
	}
	n.seats = seatsOf(t)
	n.paceAppends()
	maps.DeleteFunc(n.suspects, func(seat string, _ time.Time) bool { return !slices.Contains(n.seats, seat) })
	if n.settings.Division == DivideEvenly {
		n.divideEvenly(t)
	}
}

// streams is the number of streams that each process appends to.
const streams = 2

// paceAppends divides the fleet's budget of appends over the live processes and their streams.
func (n *Node) paceAppends() {
	pace := time.Second * time.Duration(streams*len(n.seats)) / time.Duration(n.settings.MaxAppendsPerSecond)
	for _, w := range []*follow.Writer{n.writer, n.claimWriter} {
		w.SetAppendInterval(max(n.settings.AppendInterval, pace))
	}
}

// layout compiles the tables for admission and for the allocators.
func (n *Node) layout(t fold.Tables) {
	hosts := n.usableHosts(t)
	n.rows.Configure(layoutOf(t, hosts))
	if open, ok := n.rows.TeamID(openTeam); ok {
		n.rows.SetUsableSlots(open, openLimit)
	}
	n.limited = n.limitedOf(t)
	n.exchangersOf(t)
	n.allocators.configure(layoutsOf(t, hosts))
	n.current.Store(viewOf(t, n.rows))
}

// Run serves until ctx ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.settings.Listen)
	if err != nil {
		return trace.Wrap(err, "listening on %s", n.settings.Listen)
	}
	n.listener.Store(&listener)
	peers, err := peer.NewServer(n, n.settings.PeerSecret, &n.peerBytes)
	if err != nil {
		return err
	}
	if err := peers.Listen(n.settings.Seat); err != nil {
		return err
	}
	defer peers.Close()
	go peers.Serve()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.line.Add(event.KindStart, n.settings.Seat, "", "")
	n.log.Info("started", zap.String("listen", n.settings.Listen), zap.String("zone", n.settings.Zone), zap.String("incarnation", n.writerID))
	for _, run := range []func(context.Context){n.writer.Run, n.claimWriter.Run, n.stateTail.Run, n.claimTail.Run, n.watchHosts, n.tickForever} {
		go run(background)
	}
	served := make(chan error, 1)
	go func() { served <- n.server.Serve(listener) }()
	select {
	case err := <-served:
		if n.killed.Load() {
			return nil
		}
		return trace.Wrap(err, "serving")
	case <-ctx.Done():
	}
	if !n.killed.Load() {
		n.stop(background)
	}
	return nil
}

func (n *Node) tickForever(ctx context.Context) {
	ticker := n.clock.NewTicker(n.settings.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			n.tick(n.clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// Kill ends the node as a lost host would: at once, without a word to anyone.
func (n *Node) Kill() {
	n.stopping.Store(true)
	n.killed.Store(true)
	if l := n.listener.Load(); l != nil {
		_ = (*l).Close()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rows.Tick(n.clock.Now().Add(maxTimeout))
}

// tick runs each system once over the tables.
func (n *Node) tick(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.keepLease(now)
	n.keepLimits(now)
	n.probeSuspects(now)
	n.heartbeat(now)
	n.exchangeSlots(now)
	n.rows.Tick(now)
}

// pool returns the connections to a target.
func (n *Node) pool(address string) *conns.Pool {
	n.poolMu.Lock()
	defer n.poolMu.Unlock()
	p := n.pools[address]
	if p == nil {
		p = conns.NewPool(address, conns.WithSourceIP(n.settings.Source))
		n.pools[address] = p
	}
	return p
}
