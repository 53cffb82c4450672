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

	"lavenderwing.example/lavenderwing/accept"
	"lavenderwing.example/lavenderwing/elect"
	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/peer"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
	"lavenderwing.example/lavenderwing/zones"
)

// Topics, keys and partitions in the store. All topics are keyed: the store keeps the newest record of each key forever.
const (
	leadTopic = "lead"
	leadKey   = "holder"
	// jobsTopic holds accepted jobs: the holder's own in holderPartition, and those that other processes stored without a holder in the direct partitions.
	jobsTopic       = "jobs"
	holderPartition = 0
	// directFirstPartition is the first direct partition. Jobs are spread over directPartitions by identifier, because one partition takes at most 300 appends a second.
	directFirstPartition = 1
	directPartitions     = 4
	// progressTopic holds the progress of jobs and maintenance waves; only the holder writes it.
	progressTopic = "progress"
)

// weakRankPenalty is added to the rank of a process with a CPU share below weakCPUShare. It delays the claim by somewhat more than the other processes need to notice a vacancy and claim.
const weakRankPenalty = 20

// weakCPUShare is the share of a core below which a process lets others claim first, because a takeover reads and encodes every job.
const weakCPUShare = 0.3

// rankCount is the number of ranks, about the number of processes on a small site.
const rankCount = 8

// Agent runs the process on one entry host.
type Agent struct {
	settings work.Settings
	features work.Features
	log      *zap.Logger
	clock    *clock
	store    *platform.StoreClient
	// directStore has its own connections, so that jobs stored without a holder do not delay the store calls of a takeover.
	directStore   *platform.StoreClient
	directBreaker circuitBreaker
	peers         *mesh.Client
	peerServer    *peer.Server
	meters        *meters
	// metricsPort is 0 if no metrics page is served.
	metricsPort int
	address     string
	// boot identifies this run of the process.
	boot string
	// rank is this process's place in the order of claims; a process with a lower rank claims earlier.
	rank int
	link link

	config   atomic.Pointer[configState]
	stopping atomic.Bool
	// wasIsolated means that the process was isolated when that was last determined.
	wasIsolated atomic.Bool
	// operatorOffset is the next offset to read from the operators' topic, or -1 if its newest records have to be read.
	operatorOffset atomic.Int64
	// evacuations holds the evacuations that the operators' records request, as read so far.
	evacuations atomic.Pointer[zones.Set]
	// operatorsReadAt is when the last read began that reached the end of the operators' topic.
	operatorsReadAt atomic.Int64
	// storeLatency is the average latency of the calls of elections to the store.
	storeLatency latencyAverage
	// storeAnsweredAt is when the store last answered, 0 before its first answer and -1 while calls to it fail.
	storeAnsweredAt atomic.Int64
	callerServer    *fasthttp.Server
	// front is the listener for callers.
	front    *accept.Listener
	inFlight atomic.Int64
	// checkNow makes the follower check the holder without waiting for the next heartbeat.
	checkNow chan struct{}
	// loadSettings reads the settings again; a signal on reloadSignal requests it.
	loadSettings func() (work.Settings, error)
	reloadSignal <-chan os.Signal
	// loadedSettings are the settings as last read.
	loadedSettings work.Settings
	malformed      malformedLog

	// mu guards the fields below.
	mu       sync.Mutex
	detector *elect.FailureDetector
	// predecessor is the clock of the last holder that this process followed, as known from heartbeat replies.
	predecessor sched.PredecessorClock
	// active is the holder that runs in this process, nil while it follows.
	active *Holder
	// holderIsolated means that the holder that this process follows says that it is isolated.
	holderIsolated bool
	members        map[string]member
	// membersEpoch is the epoch of the holder that last sent the list of members, and membersUpdatedAt the time of its reply.
	membersEpoch     int64
	membersUpdatedAt time.Duration
	waves            map[int64]work.Wave
	waveSeenAt       map[int64]time.Duration
}

// member is the holder or a process that follows it.
type member struct {
	heardAt time.Duration
	// share is the CPU share of the process, in cores.
	share float64
	// zone is the availability zone of the process, empty if it is not known.
	zone string
	// startedAt is when the process started, by this process's clock.
	startedAt time.Duration
	// stopping means that the process is stopping and cannot become the holder.
	stopping bool
}

// configState is the configuration in force, decoded and as written.
type configState struct {
	config *work.Config
	raw    []byte
	// offset is that of the record in the operators' topic, peerOffset if another process sent the configuration.
	offset int64
	at     time.Duration
}

// Option configures an Agent.
type Option func(*Agent)

// WithReload sets the function that reads the settings again and the channel whose signals request it.
func WithReload(load func() (work.Settings, error), signals <-chan os.Signal) Option {
	return func(a *Agent) { a.loadSettings, a.reloadSignal = load, signals }
}

// WithMetrics sets the scope that records metrics, and the page that serves them on the port.
func WithMetrics(scope tally.Scope, page http.Handler, port int) Option {
	return func(a *Agent) {
		a.meters = newMeters(scope, page)
		a.metricsPort = port
	}
}

// WithFeatures sets which parts of the scheduling are on; all are by default.
func WithFeatures(f work.Features) Option { return func(a *Agent) { a.features = f } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(a *Agent) { a.log = l } }

// New returns an Agent for the settings.
func New(s work.Settings, opts ...Option) (*Agent, error) {
	a := &Agent{
		settings: s, loadedSettings: s, log: zap.NewNop(), clock: newClock(), boot: uuid.NewString(),
		store:       platform.NewStoreClient(s.Store.Address),
		directStore: platform.NewStoreClient(s.Store.Address),
		checkNow:    make(chan struct{}, 1),
		members:     map[string]member{}, waves: map[int64]work.Wave{}, waveSeenAt: map[int64]time.Duration{},
	}
	for _, o := range opts {
		o(a)
	}
	if a.meters == nil {
		a.meters = newMeters(tally.NoopScope, nil)
	}
	a.operatorOffset.Store(-1)
	a.evacuations.Store(&zones.Set{})
	a.link = newLink(s.LinkMbps)
	a.address = net.JoinHostPort(s.IP, strconv.Itoa(s.InternalPorts[0]))
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(s.Node))
	a.rank = int(hash.Sum32() % rankCount)
	if s.CPUShare < weakCPUShare {
		a.rank += weakRankPenalty
	}
	a.detector = elect.NewFailureDetector(a.clock.Now())
	a.peers = mesh.NewClient(&a.meters.peerBytes)
	var err error
	a.peerServer, err = mesh.NewServer(a, &a.meters.peerBytes)
	return a, trace.Wrap(err)
}

// Run serves until the context ends and then shuts down gracefully.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.peerServer.Listen(a.address, a.reportAccepts(a.address)); err != nil {
		return trace.Wrap(err)
	}
	go a.peerServer.Serve()
	if err := a.listen(); err != nil {
		return trace.Wrap(err)
	}
	a.log.Info("started", zap.String("node", a.settings.Node), zap.String("zone", a.settings.Zone), zap.String("boot", a.boot), zap.String("address", a.address))
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.tailOperators(background)
	go a.follow(background)
	a.reloadLoop(ctx)
	a.log.Info("stopping", zap.String("node", a.settings.Node))
	a.stop()
	cancel()
	a.log.Info("stopped", zap.String("node", a.settings.Node))
	return nil
}

// activeHolder returns the holder that runs in this process, or nil while it follows.
func (a *Agent) activeHolder() *Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active
}

// sleep waits and reports whether the context is still active.
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
