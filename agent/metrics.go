package agent

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"lavenderwing.example/lavenderwing/mesh"
)

// latencyBuckets range from 1 ms, the latency of a local reply, to 4.1 s, beyond the callers' default timeout.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// meters holds the metrics of the process.
type meters struct {
	scope       tally.Scope
	page        http.Handler
	peerBytes   atomic.Int64
	storeReads  tally.Counter
	storeWrites tally.Counter
	storeErrors tally.Counter
	cloudCalls  tally.Counter
	renewals    tally.Counter
	starts      tally.Counter
	panics      tally.Counter
	epoch       tally.Gauge
	version     tally.Gauge
	latency     [len(kindNames)]tally.Histogram

	mu        sync.Mutex
	decisions map[string]tally.Counter
	refusals  map[int]tally.Counter
}

// kindNames are the tag values for the kinds of requests.
var kindNames = [...]string{mesh.Submit: "submit", mesh.Status: "status", mesh.Cancel: "cancel", mesh.Pending: "pending"}

func newMeters(scope tally.Scope, page http.Handler) *meters {
	m := &meters{
		scope: scope, page: page,
		storeReads: scope.Counter("store_reads"), storeWrites: scope.Counter("store_writes"), storeErrors: scope.Counter("store_errors"),
		cloudCalls: scope.Counter("cloud_calls"), renewals: scope.Counter("target_renewals"), starts: scope.Counter("starts"), panics: scope.Counter("panics"),
		epoch: scope.Gauge("holder_epoch"), version: scope.Gauge("config_version"),
		decisions: map[string]tally.Counter{}, refusals: map[int]tally.Counter{},
	}
	for i, name := range kindNames {
		m.latency[i] = scope.Tagged(map[string]string{"kind": name}).Histogram("request_latency", latencyBuckets)
	}
	return m
}

// countDecision counts a decision of the kind.
func (m *meters) countDecision(kind string) {
	m.mu.Lock()
	c, ok := m.decisions[kind]
	if !ok {
		c = m.scope.Tagged(map[string]string{"kind": kind}).Counter("decisions")
		m.decisions[kind] = c
	}
	m.mu.Unlock()
	c.Inc(1)
}

// recordLatency records how long a request of the kind took.
func (m *meters) recordLatency(kind mesh.Kind, took time.Duration) {
	m.latency[kind].RecordDuration(took)
}

// countRefusal counts a refusal with the HTTP status.
func (m *meters) countRefusal(status int) {
	m.mu.Lock()
	c, ok := m.refusals[status]
	if !ok {
		c = m.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("refusals")
		m.refusals[status] = c
	}
	m.mu.Unlock()
	c.Inc(1)
}
