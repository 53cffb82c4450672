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

	"lavenderwing.example/lavenderwing/accept"
	"lavenderwing.example/lavenderwing/admit"
	"lavenderwing.example/lavenderwing/claim"
	"lavenderwing.example/lavenderwing/conns"
	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/logapi"
	"lavenderwing.example/lavenderwing/member"
	"lavenderwing.example/lavenderwing/peer"
	"lavenderwing.example/lavenderwing/state"
	"lavenderwing.example/lavenderwing/stream"
)

// tokenHashSize is the length of the hash of an operator's token in bytes.
const tokenHashSize = sha256.Size

// Node is one entry process.
type Node struct {
	settings    Settings
	platformLog logapi.Log
	hostList    logapi.HostList
	clock       clockwork.Clock
	log         *zap.Logger
	metrics     tally.Scope
	// metricsHandler is nil if metrics are not served.
	metricsHandler MetricsHandler
	timeline       *event.Recorder
	// writerID stays the same when the process rejoins, because the sequence numbers of its writers continue.
	writerID string

	stateWriter *stream.Writer
	claimWriter *stream.Writer
	state       *stream.State
	claims      *claim.Table
	answers     answerCache
	stateTail   *stream.Tail
	claimTail   *stream.Tail
	currentView atomic.Pointer[configView]

	// mu guards the fields of this group.
	mu sync.Mutex
	// claiming holds the identifiers that requests of this process are claiming right now.
	claiming     map[uuid.UUID]bool
	admission    *admit.Table
	session      *member.Session
	limitedTeams []limitedTeam
	// limitsUpdatedOffset and limitsCheckedAt are the log offset and the time at which updateLimits last updated all teams, including those without requests.
	limitsUpdatedOffset int64
	limitsUpdatedAt     time.Time
	retryBudgets        map[admit.ServiceID]*admit.RetryBudget
	configVersion       int64
	// liveSeats holds the seats of the live entry processes, sorted.
	liveSeats []string
	// suspects maps peers that did not reply to the time at which the last call to them failed or the last probe was sent.
	suspects   map[string]time.Time
	exchangers map[string]*exchanger
	// leavingHosts holds the names of the hosts that the platform lists as leaving.
	leavingHosts    map[string]bool
	lastHeartbeatAt time.Time
	heartbeatsSent  int

	allocators *allocators
	peers      *peer.Client
	peerBytes  atomic.Int64
	// peerFreshAt is the last time, in Unix nanoseconds, at which the state was up to date according to a peer.
	peerFreshAt atomic.Int64

	connPoolsMu sync.Mutex
	connPools   map[string]*conns.Pool

	counters counters
	stopping atomic.Bool
	// killed is set by Kill and skips the graceful stop.
	killed   atomic.Bool
	listener atomic.Pointer[net.Listener]
	// inFlight is the number of callers' requests that have no outcome yet.
	inFlight     atomic.Int64
	server       *fasthttp.Server
	attemptCount atomic.Uint64
}

// Option configures a Node.
type Option func(*Node)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(n *Node) { n.clock = c } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(n *Node) { n.log = l } }

// MetricsHandler serves the metrics of the process over HTTP.
type MetricsHandler http.Handler

// WithMetrics sets the scope of metrics and the handler that serves them.
func WithMetrics(s tally.Scope, handler MetricsHandler) Option {
	return func(n *Node) {
		n.metrics = s
		n.metricsHandler = handler
	}
}

// New returns a node that is not running yet.
func New(settings Settings, platformLog logapi.Log, hostList logapi.HostList, opts ...Option) *Node {
	incarnation := newIncarnation()
	n := &Node{
		settings:     settings,
		platformLog:  platformLog,
		hostList:     hostList,
		clock:        clockwork.NewRealClock(),
		log:          zap.NewNop(),
		metrics:      tally.NoopScope,
		writerID:     formatWriterID(settings.Seat, incarnation),
		answers:      newAnswerCache(),
		retryBudgets: map[admit.ServiceID]*admit.RetryBudget{},
		connPools:    map[string]*conns.Pool{},
		suspects:     map[string]time.Time{},
		exchangers:   map[string]*exchanger{},
		claiming:     map[uuid.UUID]bool{},
	}
	for _, opt := range opts {
		opt(n)
	}
	n.timeline = event.NewRecorder(settings.Listen, settings.Zone, incarnation, event.WithClock(n.clock))
	n.admission = admit.New(admit.WithHealthChanges(n.recordHealthChange))
	identity := member.Identity{Seat: settings.Seat, Zone: settings.Zone, Address: settings.Listen}
	n.session = member.New(identity, settings.LeaseDuration, incarnation, newIncarnation)
	n.counters = newCounters(n.metrics)
	n.allocators = newAllocators(n.clock)
	n.peers = peer.NewClient(settings.Source, settings.PeerSecret, &n.peerBytes)
	n.openStreams()
	n.currentView.Store(newConfigView(state.New(), n.admission))
	n.server = n.newServer()
	return n
}

// openStreams creates the writers and the tails of the state and claim streams.
func (n *Node) openStreams() {
	options := []stream.WriterOption{stream.WithAppendInterval(n.settings.AppendInterval), stream.WithClock(n.clock)}
	n.stateWriter = stream.NewWriter(n.platformLog, logapi.StateStream, n.writerID, options...)
	n.claimWriter = stream.NewWriter(n.platformLog, logapi.ClaimStream, n.writerID, options...)
	n.state = stream.NewState(n.stateWriter)
	n.state.Watch(n.applyTables)
	n.claims = claim.NewTable(n.settings.ClaimWindow, n.claimWriter)
	n.timeline.SetOffsetFunc(func() int64 { return n.state.Tables().Offset() })
	// Both tails report entries that cannot be decoded through logBadEntry.
	logBadEntry := func(offset int64, err error) {
		n.log.Error("skipped a log entry that could not be decoded", zap.Int64("offset", offset), zap.Error(err))
	}
	n.stateTail = stream.NewTail(n.platformLog, logapi.StateStream, n.state, stream.WithTailClock(n.clock), stream.WithDecodeErrorHandler(logBadEntry),
		stream.WithOutOfRangeHandler(func(l *logapi.OffsetOutOfRangeError) { n.timeline.Add(event.KindLog, l.Stream, "retention", l.Error()) }))
	n.claimTail = stream.NewTail(n.platformLog, logapi.ClaimStream, n.claims, stream.WithTailClock(n.clock), stream.WithDecodeErrorHandler(logBadEntry),
		stream.WithOutOfRangeHandler(func(l *logapi.OffsetOutOfRangeError) { n.claims.Skip(l.First) }))
}

func newIncarnation() string { return uuid.Must(uuid.NewV7()).String() }

func (n *Node) view() *configView { return n.currentView.Load() }

func (n *Node) recordHealthChange(change admit.HealthChange) {
	n.timeline.Add(event.KindTarget, change.Target, "health", change.Change)
	n.counters.healthChanges.Inc(1)
}

// applyTables is called with the tables after each batch. It applies a changed configuration, and updates the live seats and what depends on them: the append intervals, the suspected peers and, if slots are divided evenly, this process's slots.
func (n *Node) applyTables(t state.Tables) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t.ConfigVersion() != n.configVersion || n.configVersion == 0 {
		n.configVersion = t.ConfigVersion()
		n.applyConfig(t)
		n.timeline.Add(event.KindConfig, "version", "log", strconv.FormatInt(n.configVersion, 10)+" in force")
	}
	n.liveSeats = liveSeats(t)
	n.setAppendIntervals()
	maps.DeleteFunc(n.suspects, func(seat string, _ time.Time) bool { return !slices.Contains(n.liveSeats, seat) })
	if n.settings.Division == DivideEvenly {
		n.divideEvenly(t)
	}
}

// streamsPerProcess is the number of streams that each process appends to.
const streamsPerProcess = 2

// setAppendIntervals divides the fleet's MaxAppendsPerSecond among the live processes and their streams; no interval is shorter than the AppendInterval of the settings.
func (n *Node) setAppendIntervals() {
	interval := time.Second * time.Duration(streamsPerProcess*len(n.liveSeats)) / time.Duration(n.settings.MaxAppendsPerSecond)
	for _, w := range []*stream.Writer{n.stateWriter, n.claimWriter} {
		w.SetAppendInterval(max(n.settings.AppendInterval, interval))
	}
}

// applyConfig applies the configuration in the tables to admission, to the allocators and to the view that requests are checked against.
func (n *Node) applyConfig(t state.Tables) {
	hosts := n.configuredHosts(t)
	n.admission.Configure(admissionConfig(t, hosts))
	if open, ok := n.admission.TeamID(openTeam); ok {
		n.admission.SetUsableSlots(open, openTeamSlots)
	}
	n.limitedTeams = n.listLimitedTeams(t)
	n.addExchangers(t)
	n.allocators.configure(allocatorConfigs(t, hosts))
	n.currentView.Store(newConfigView(t, n.admission))
}

// Run serves until ctx is cancelled, and then stops gracefully. It returns earlier with an error if it cannot start or the server fails, and without an error after Kill.
func (n *Node) Run(ctx context.Context) error {
	inner, err := net.Listen("tcp", n.settings.Listen)
	if err != nil {
		return trace.Wrap(err, "listening on %s", n.settings.Listen)
	}
	report := accept.WithReport(func(err error) {
		if err != nil {
			n.log.Error("cannot accept connections", zap.Error(err))
			return
		}
		n.log.Info("connections are accepted again")
	})
	var listener net.Listener = accept.New(inner, report)
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
	n.timeline.Add(event.KindStart, n.settings.Seat, "", "")
	n.log.Info("started", zap.String("listen", n.settings.Listen), zap.String("zone", n.settings.Zone), zap.String("incarnation", n.writerID))
	for _, run := range []func(context.Context){n.stateWriter.Run, n.claimWriter.Run, n.stateTail.Run, n.claimTail.Run, n.watchHosts, n.runTicks} {
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

func (n *Node) runTicks(ctx context.Context) {
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

// Kill stops the node as the loss of its host would: at once, without finishing requests or leaving the membership.
func (n *Node) Kill() {
	n.stopping.Store(true)
	n.killed.Store(true)
	if l := n.listener.Load(); l != nil {
		_ = (*l).Close()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	// The later time makes waiting requests expire now. No deadline is more than maxTimeout away, unless the caller set no timeout and the queue allows a longer one.
	n.admission.Tick(n.clock.Now().Add(maxTimeout))
}

// tick runs each periodic task once.
func (n *Node) tick(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateLease(now)
	n.updateLimits(now)
	n.probeSuspects(now)
	n.heartbeatNextPeer(now)
	n.sendReports(now)
	n.admission.Tick(now)
}

// connPool returns the connection pool of a target, which it creates on first use.
func (n *Node) connPool(address string) *conns.Pool {
	n.connPoolsMu.Lock()
	defer n.connPoolsMu.Unlock()
	p := n.connPools[address]
	if p == nil {
		p = conns.NewPool(address, conns.WithSourceIP(n.settings.Source))
		n.connPools[address] = p
	}
	return p
}
