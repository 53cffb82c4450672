package agent

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/shed"
)

// latencyBuckets range from 1 ms, the latency of a local reply, to 4.1 s, beyond the callers' default timeout.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// errorBuckets are ratios of actual to expected run times, from a quarter to beyond the tail of heavy-tailed work.
var errorBuckets = tally.ValueBuckets{0.25, 0.5, 0.71, 0.83, 0.91, 1, 1.1, 1.2, 1.41, 2, 4, 8}

// meters holds the metrics of the process.
type meters struct {
	scope          tally.Scope
	page           http.Handler
	peerBytes      atomic.Int64
	storeReads     tally.Counter
	storeWrites    tally.Counter
	storeErrors    tally.Counter
	cloudCalls     tally.Counter
	renewals       tally.Counter
	starts         tally.Counter
	stops          tally.Counter
	panics         tally.Counter
	removals       tally.Counter
	backlog        tally.Gauge
	epoch          tally.Gauge
	version        tally.Gauge
	isolated       tally.Gauge
	evacuatedZones tally.Gauge
	expectError    tally.Histogram
	// orderWait is how long orders for targets have waited until they were sent.
	orderWait tally.Histogram
	latency   [len(kindNames)]tally.Histogram

	mu        sync.Mutex
	decisions map[string]tally.Counter
	// stored holds what the last takeover has read of each topic so far.
	stored   map[string]*storedTopic
	refusals map[int]tally.Counter
	// shed counts the jobs that admission has refused by their reason.
	shed map[shed.Reason]tally.Counter
	// evictions counts the runs that were stopped for urgent work, and evictedCoreSeconds the processor time that was lost by that.
	evictions          tally.Counter
	evictedCoreSeconds tally.Gauge
	// lostCoreSeconds is the value of evictedCoreSeconds.
	lostCoreSeconds float64
}

// storedTopic counts the records of a topic and their bytes, keys included.
type storedTopic struct{ records, bytes int }

// kindNames are the tag values for the kinds of requests.
var kindNames = [...]string{mesh.Submit: "submit", mesh.Status: "status", mesh.Cancel: "cancel", mesh.Pending: "pending"}

func newMeters(scope tally.Scope, page http.Handler) *meters {
	m := &meters{
		scope: scope, page: page,
		storeReads: scope.Counter("store_reads"), storeWrites: scope.Counter("store_writes"), storeErrors: scope.Counter("store_errors"),
		cloudCalls: scope.Counter("cloud_calls"), renewals: scope.Counter("target_renewals"), starts: scope.Counter("starts"), stops: scope.Counter("stops"), panics: scope.Counter("panics"),
		removals: scope.Counter("jobs_removed"), backlog: scope.Gauge("removal_backlog"),
		epoch: scope.Gauge("holder_epoch"), version: scope.Gauge("config_version"), isolated: scope.Gauge("isolated"), evacuatedZones: scope.Gauge("evacuated_zones"),
		expectError: scope.Histogram("expectation_error", errorBuckets), orderWait: scope.Histogram("order_wait", latencyBuckets),
		evictions: scope.Counter("evictions"), evictedCoreSeconds: scope.Gauge("evicted_core_seconds"),
		decisions: map[string]tally.Counter{}, refusals: map[int]tally.Counter{}, shed: map[shed.Reason]tally.Counter{}, stored: map[string]*storedTopic{},
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

// countShed counts a job that admission has refused.
func (m *meters) countShed(reason shed.Reason) {
	m.mu.Lock()
	c, ok := m.shed[reason]
	if !ok {
		c = m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("shed_refusals")
		m.shed[reason] = c
	}
	m.mu.Unlock()
	c.Inc(1)
}

// countEvictions counts runs that were stopped for urgent work.
func (m *meters) countEvictions(e sched.Evictions) {
	if e.Runs == 0 {
		return
	}
	m.mu.Lock()
	m.lostCoreSeconds += e.CoreSeconds
	total := m.lostCoreSeconds
	m.mu.Unlock()
	m.evictions.Inc(int64(e.Runs))
	m.evictedCoreSeconds.Update(total)
}

// resetStored begins to count what a takeover reads.
func (m *meters) resetStored() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stored = map[string]*storedTopic{}
}

// countStored adds a page of a topic to what the takeover has read.
func (m *meters) countStored(topic string, page []platform.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.stored[topic]
	if !ok {
		s = &storedTopic{}
		m.stored[topic] = s
	}
	for _, r := range page {
		s.records++
		s.bytes += len(r.Key) + len(r.Value)
	}
	scope := m.scope.Tagged(map[string]string{"topic": topic})
	scope.Gauge("stored_records").Update(float64(s.records))
	scope.Gauge("stored_bytes").Update(float64(s.bytes))
}
