package sched

import (
	"sort"
	"time"

	"lavenderwing.example/lavenderwing/learn"
	"lavenderwing.example/lavenderwing/shed"
	"lavenderwing.example/lavenderwing/work"
)

// leaseDuration is how long a target keeps running after its last renewal: long enough for a takeover of about two seconds after a missed renewal, short enough that work on a lost target restarts soon.
const leaseDuration = 5 * time.Second

// MaxUnconfirmedRenewal bounds how long a holder renews leases while neither the store nor most of its followers confirm it.
const MaxUnconfirmedRenewal = 3 * time.Second

// inheritedLeaseDuration is how long after a takeover an unreachable target may still run what an earlier holder started: the time of that holder's unconfirmed renewals, and one lease, which a slow clock extends by less than leaseDuration/40.
const inheritedLeaseDuration = MaxUnconfirmedRenewal + leaseDuration + leaseDuration/40 + leaseMargin

// Event explains a decision in the event log.
type Event struct {
	Kind    string
	Subject string
	Cause   string
	Detail  string
}

// Table holds the holder's knowledge of jobs, targets and hosts, and the orders that follow from it.
type Table struct {
	bounds   work.Bounds
	features work.Features
	config   *work.Config
	// poolNames holds the pools that the configuration or an active job names, and poolsRenamed means that they may have changed since the last plan.
	poolNames    map[string]bool
	poolsRenamed bool
	// heldEntries holds the entries of targets whose pools the configuration does not name.
	heldEntries map[work.TargetID]heldEntry
	// disputed holds the entries that contradict what their targets have answered.
	disputed map[work.TargetID]disputedEntry
	token    int64
	// tookOverAt is when this holder took over.
	tookOverAt time.Duration
	// fencedAt is when the store began to reject the records of earlier holders.
	fencedAt time.Duration

	jobs       map[work.JobID]*job
	activeJobs []*job
	targets    map[work.TargetID]*target
	// sortedTargets holds the targets by identifier, so that decisions do not depend on the iteration order of the map.
	sortedTargets []*target
	// targetByAddress holds the target that has answered last at each address, or the first one that an entry named there if none has answered.
	targetByAddress map[string]*target
	// regularReports means that a target has reported itself again, so that a target that does not is cut off from the store.
	regularReports bool
	// targetsByPool holds the listed targets of each pool, and is nil after the list has changed.
	targetsByPool map[string][]*target
	// usage holds the resources that each team's running items demand.
	usage map[string]work.Resources
	// runStatsByQueue holds the run times that each queue's finished runs have shown.
	runStatsByQueue map[string]*runStats
	// learned holds the learned run times, nil if the feature is off. expectationErrors holds the ratios of actual to expected times that have not been taken yet.
	learned           *learn.Model
	expectationErrors []float64
	learnedLoggedAt   time.Duration

	// candidateBuffer holds the candidates of the last plan, so that the next one reuses their memory.
	candidateBuffer []candidate

	// evictedAtPlan is when runs were last chosen to be stopped for urgent work, and evictions counts those that have ended since the last TakeEvictions.
	evictedAtPlan time.Duration
	evictions     Evictions

	// refusals remembers when jobs were first refused.
	refusals shed.Memory

	// expired holds the jobs whose retention was over before this holder took over; the value means that their records are being removed.
	expired map[jobKey]bool
	// removedKeys holds the keys whose records the next batch removes.
	removedKeys []string
	// unusedSince holds since when queues, pools, teams and hosts that the table knows have not been in use.
	unusedSince map[string]time.Duration

	// dirty holds the jobs whose progress has changed since the last batch.
	dirty []*job
	// unwrittenSince is when the batch was taken that the store is writing, 0 if there is none.
	unwrittenSince time.Duration
	// orders may be sent at once, pendingStarts only after the batch that records them has been written.
	orders        []Order
	pendingStarts []Order
	events        []Event
	// adviceRequests wait to be sent to the advice service.
	adviceRequests []AdviceRequest
	deposed        bool
	// recordLimit is how many bytes the store takes in a record, 0 if it has no limit.
	recordLimit int

	hosts       map[string]*host
	sortedHosts []*host
	// node is the process's name, by which the cloud identifies the holder.
	node string
	// hostRecords holds the last recorded order of earlier holders for each host.
	hostRecords      map[string]work.HostOrderRecord
	hostsListed      bool
	issuedHostOrders []HostOrder
	// hostLimiter limits the rate of host orders to what the cloud accepts.
	hostLimiter tokenBucket
	// rejectedMoves holds the moves, as host/pool, that the cloud rejected as invalid.
	rejectedMoves map[string]bool
	// trialTargets holds the targets that are reserved for trials of suspects.
	trialTargets []*target
	// trialQueues holds what waits for trials in each pool.
	trialQueues map[string]trialQueue
	waves       map[int64]*waveState
	waveList    []*waveState
	pools       map[string]*poolState
	// hostsPlannedAt is when host orders were last planned.
	hostsPlannedAt time.Duration
	// statsRecordedAt is when the statistics of runs were last added to a batch.
	statsRecordedAt time.Duration
	// teamLoadsMeasuredAt is when the teams' running load was last measured.
	teamLoadsMeasuredAt time.Duration
	// poolsLoggedAt is when the pools' sizes were last logged.
	poolsLoggedAt time.Duration
	// evacuations holds the zones that operators have evacuated.
	evacuations map[string]*evacuation
	// operatorsReadAt is the time up to which the records of operators are known.
	operatorsReadAt time.Duration
	// startsSuspended means that the present or last plan starts and evicts nothing, because knowsEvacuations was false.
	startsSuspended bool
	// strandedSteps holds the steps with stranded items.
	strandedSteps []*step
	// predecessor is what this process knows of an earlier holder's clock, and processOriginMs its own process time at time 0 of its clock.
	predecessor     PredecessorClock
	processOriginMs int64
	// earlierClocks is what the last batch of an earlier holder's orders for hosts recorded of targets' clocks.
	earlierClocks work.HolderClockRecord
	// wallOffset is the time of day at time 0 of the process's clock, in milliseconds since 1970.
	wallOffset int64
}

// Option configures a new Table.
type Option func(*Table)

// WithToken sets the holder's fencing token and the time of its takeover.
func WithToken(token int64, now time.Duration) Option {
	return func(t *Table) { t.token, t.tookOverAt, t.fencedAt = token, now, now }
}

// WithPredecessor sets what this process knows of an earlier holder's clock.
func WithPredecessor(c PredecessorClock) Option { return func(t *Table) { t.predecessor = c } }

// WithProcessOrigin sets the process time, in milliseconds since 1970, at time 0 of the process's clock.
func WithProcessOrigin(ms int64) Option { return func(t *Table) { t.processOriginMs = ms } }

// WithNode sets the name by which the cloud identifies the holder.
func WithNode(node string) Option { return func(t *Table) { t.node = node } }

// WithHostRate sets how many host orders the cloud accepts a second; 0 means no limit.
func WithHostRate(perSecond float64) Option {
	return func(t *Table) { t.hostLimiter = newTokenBucket(perSecond * hostRateShare) }
}

// WithFeatures sets which parts of the scheduling are on; all are by default.
func WithFeatures(f work.Features) Option { return func(t *Table) { t.features = f } }

// WithRecordLimit sets how many bytes the store takes in a record, its key included; 0 means no limit.
func WithRecordLimit(bytes int) Option { return func(t *Table) { t.recordLimit = bytes } }

// hostRateShare leaves a part of the cloud's rate to the calls of another holder during a takeover.
const hostRateShare = 0.8

// New returns an empty table.
func New(bounds work.Bounds, opts ...Option) *Table {
	t := &Table{
		bounds: bounds, config: &work.Config{}, poolNames: map[string]bool{}, expired: map[jobKey]bool{}, unusedSince: map[string]time.Duration{}, jobs: map[work.JobID]*job{},
		targets: map[work.TargetID]*target{}, targetByAddress: map[string]*target{}, usage: map[string]work.Resources{}, runStatsByQueue: map[string]*runStats{},
		hosts: map[string]*host{}, hostRecords: map[string]work.HostOrderRecord{}, rejectedMoves: map[string]bool{},
		heldEntries: map[work.TargetID]heldEntry{}, disputed: map[work.TargetID]disputedEntry{}, waves: map[int64]*waveState{}, pools: map[string]*poolState{}, trialQueues: map[string]trialQueue{}, evacuations: map[string]*evacuation{},
	}
	for _, o := range opts {
		o(t)
	}
	t.startLearning()
	return t
}

// Token returns the holder's fencing token.
func (t *Table) Token() int64 { return t.token }

// Deposed reports whether a target has seen a higher token, so that another process is the holder.
func (t *Table) Deposed() bool { return t.deposed }

// SetWallClock sets the time of day, in milliseconds since 1970, at the given time.
func (t *Table) SetWallClock(ms int64, now time.Duration) { t.wallOffset = ms - now.Milliseconds() }

func (t *Table) wallMs(now time.Duration) int64 { return t.wallOffset + now.Milliseconds() }

// Configure applies a configuration and reports whether it replaces the present one; one of an earlier version is ignored.
func (t *Table) Configure(c *work.Config) bool {
	if c.Version < t.config.Version || c == t.config {
		return false
	}
	t.config = c
	t.forgetWeights()
	t.poolNames, t.poolsRenamed = namedPools(c), true
	for _, j := range t.activeJobs {
		if q, ok := c.Queue(j.record.Queue); ok {
			j.queue = q
		}
		t.namePool(j.queue.Pool)
	}
	return true
}

// namePool allows targets of a pool that a job needs, also while the configuration lacks it.
func (t *Table) namePool(pool string) {
	if !t.poolNames[pool] {
		t.poolNames[pool], t.poolsRenamed = true, true
	}
}

// Accept adds a job that the store holds and reports whether it is new.
func (t *Table) Accept(record *work.Job, now time.Duration) bool {
	if _, known := t.jobs[record.ID]; known {
		return false
	}
	j := t.addJob(record, now)
	if j.invalid {
		return true
	}
	t.rememberRefusal(j, now)
	t.ensurePool(j.queue.Pool).addArrivalOf(record, func(step int) float64 { return t.meanMs(j, step) }, t.arrivedAt(record, now), now)
	return true
}

// arrivedAt is when a job that is added now arrived. A job that was stored without a holder did so some time ago, by the time of day of another host, which is not trusted further than arrivalWindow.
func (t *Table) arrivedAt(record *work.Job, now time.Duration) time.Duration {
	age := time.Duration(t.wallMs(now)-record.AcceptedMs) * time.Millisecond
	return now - min(max(age, 0), arrivalWindow)
}

// queueOf returns the queue of a job: as it is configured, or as it was when the job was accepted if operators have removed it.
func (t *Table) queueOf(record *work.Job) *work.Queue {
	if q, ok := t.config.Queue(record.Queue); ok {
		return q
	}
	return record.AcceptedQueue()
}

// addJob adds a job that was accepted at the given time. A stored job that is not valid fails at once and gets no items, because its numbers cannot be trusted.
func (t *Table) addJob(record *work.Job, acceptedAt time.Duration) *job {
	q := t.queueOf(record)
	if err := record.Validate(); err != nil {
		j := &job{record: record, queue: q, acceptedAt: acceptedAt, invalid: true}
		t.jobs[record.ID] = j
		t.activeJobs = append(t.activeJobs, j)
		t.logEvent("invalidJob", string(record.ID), "stored job is not valid", err.Error())
		t.finishJob(j, work.Failed, acceptedAt)
		return j
	}
	t.namePool(q.Pool)
	j := newJob(record, q, acceptedAt)
	t.jobs[record.ID] = j
	t.activeJobs = append(t.activeJobs, j)
	return j
}

// Known reports whether the job has been accepted.
func (t *Table) Known(id work.JobID) bool {
	_, ok := t.jobs[id]
	return ok
}

// Lookup returns a job's team and state; a final state is shown only once the store holds it.
func (t *Table) Lookup(id work.JobID) (team string, state work.State, known bool) {
	j, ok := t.jobs[id]
	if !ok {
		return "", work.Queued, false
	}
	state = j.recordedState
	if !state.Final() {
		state = work.Queued
		if j.started {
			state = work.Running
		}
	}
	return j.record.Team, state, true
}

// Origin returns the team and the queue that a job was handed in by.
func (t *Table) Origin(id work.JobID) (team, queue string, known bool) {
	j, ok := t.jobs[id]
	if !ok {
		return "", "", false
	}
	return j.record.Team, j.record.Queue, true
}

// Record returns a job as it was accepted.
func (t *Table) Record(id work.JobID) (*work.Job, bool) {
	j, ok := t.jobs[id]
	if !ok {
		return nil, false
	}
	return j.record, true
}

// CountPendingJobs counts the queue's jobs of which no item has been started.
func (t *Table) CountPendingJobs(queue string) int {
	n := 0
	for _, j := range t.activeJobs {
		if j.record.Queue == queue && !j.started && j.active() {
			n++
		}
	}
	return n
}

// Cancel marks a job cancelled and reports whether the store does not hold that, or the job's final state, yet. A job that has failed stays so, and what is left of its runs is stopped.
func (t *Table) Cancel(id work.JobID, now time.Duration) bool {
	j, ok := t.jobs[id]
	if !ok {
		return false
	}
	if j.state == work.Failed && !j.cancelled && t.hasRuns(j) {
		j.cancelled = true
		t.markDirty(j)
		t.stopAllRuns(j, now)
		t.logEvent("cancelled", string(id), "caller", "failed before")
		return true
	}
	if j.recordedState.Final() && (j.recordedCancelled || !j.cancelled) {
		return false
	}
	if j.cancelled || j.state.Final() {
		return true
	}
	j.cancelled = true
	j.state = work.Cancelled
	j.endedMs, j.endedAt = t.wallMs(now), now
	t.markDirty(j)
	t.stopAllRuns(j, now)
	t.logEvent("cancelled", string(id), "caller", j.record.Queue)
	return true
}

// stopAllRuns stops every run of the job that may be active.
func (t *Table) stopAllRuns(j *job, now time.Duration) {
	t.stopRuns(j, func(*item) bool { return false }, now)
}

// stopRuns stops the runs of the job that may be active, but for those to keep.
func (t *Table) stopRuns(j *job, keep func(*item) bool, now time.Duration) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for it := range s.known() {
				if it.state == itemOrdered && !keep(it) {
					t.orderStop(it, now)
				}
			}
		}
	}
}

// orderStop orders a stop of the item's run, unless one has been ordered.
func (t *Table) orderStop(it *item, now time.Duration) {
	if it.stopping {
		return
	}
	it.stopping, it.stopOrderedAt = true, now
	t.orders = append(t.orders, StopOrder{Target: it.target.ID, Item: it.id, Run: it.run})
}

// markDirty has the job's progress recorded with the next batch.
func (t *Table) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		t.dirty = append(t.dirty, j)
	}
}

func (t *Table) logEvent(kind, subject, cause, detail string) {
	t.events = append(t.events, Event{Kind: kind, Subject: subject, Cause: cause, Detail: detail})
}

// TakeEvents returns the events since the last call.
func (t *Table) TakeEvents() []Event {
	e := t.events
	t.events = nil
	return e
}

// UpsertTarget applies a target's entry in the store. An entry whose pool the configuration does not name is held back until it does.
func (t *Table) UpsertTarget(w work.Target, now time.Duration) {
	if !t.namesTarget(&w) {
		t.holdEntry(w)
		return
	}
	t.replaceHeldEntry(w.ID)
	tgt := t.ensureTarget(w.ID)
	if tgt.hasOutlived(&w) {
		// Only the target can tell whether the entry is old or its clock was set back.
		tgt.missedCall = true
		return
	}
	if tgt.contradicts(&w) {
		t.dispute(tgt, &w, now)
		return
	}
	t.endDispute(w.ID)
	if !tgt.listed {
		t.logEvent("listed", string(w.ID), "store", w.Pool)
	}
	if w.Draining && !tgt.Draining {
		t.logEvent("draining", string(w.ID), "store", w.Pool)
	}
	if tgt.acquired && w.StartedMs != 0 && tgt.incarnation != 0 && w.StartedMs != tgt.incarnation {
		t.endIncarnation(tgt, now, "new incarnation")
		tgt.incarnation = w.StartedMs
	}
	if !tgt.listed || tgt.Pool != w.Pool {
		t.targetsByPool = nil
	}
	t.regularReports = t.regularReports || (tgt.listed && tgt.StartedMs == w.StartedMs)
	tgt.Target, tgt.reportedAt = w, now
	tgt.listed = true
	if t.targetByAddress[w.Address] == nil {
		t.targetByAddress[w.Address] = tgt
	}
	tgt.rack = w.Rack()
	if tgt.zone() == "" {
		tgt.hostZone = t.findHostZone(tgt.ID)
	}
	tgt.evacuated = t.isEvacuated(tgt.zone())
	if tgt.leaseExpiresAt == 0 && !tgt.acquired && len(tgt.runs) > 0 {
		tgt.leaseExpiresAt = t.tookOverAt + inheritedLeaseDuration
	}
}

// hasOutlived reports whether the entry was written by an earlier incarnation than the one that the target or a later entry has shown.
func (t *target) hasOutlived(w *work.Target) bool {
	if w.StartedMs == 0 || (t.acquired && w.StartedMs == t.incarnation) {
		return false
	}
	return (t.listed && w.StartedMs < t.StartedMs) || (t.acquired && w.StartedMs < t.incarnation)
}

// RemoveTarget applies the removal of a target's entry from the store.
func (t *Table) RemoveTarget(id work.TargetID) {
	delete(t.heldEntries, id)
	t.endDispute(id)
	if tgt, ok := t.targets[id]; ok && tgt.listed {
		tgt.listed = false
		t.targetsByPool = nil
		t.logEvent("unlisted", string(id), "store", tgt.Pool)
	}
}

// Targets returns the targets that are to be called: those in the store and those that may still run something.
func (t *Table) Targets() []work.Target {
	var list []work.Target
	for _, tgt := range t.sortedTargets {
		if tgt.Address != "" && !tgt.setAside && (tgt.listed || len(tgt.runs) > 0) {
			list = append(list, tgt.Target)
		}
	}
	return list
}

// CountBusyTargets counts the targets that run something, whose leases have to be renewed.
func (t *Table) CountBusyTargets() int {
	n := 0
	for _, tgt := range t.sortedTargets {
		if len(tgt.runs) > 0 {
			n++
		}
	}
	return n
}

// ensureTarget returns the target, and adds it without capacity if it is unknown.
func (t *Table) ensureTarget(id work.TargetID) *target {
	if tgt, ok := t.targets[id]; ok {
		return tgt
	}
	tgt := &target{Target: work.Target{ID: id}, bestEffortPercent: fullPacePercent}
	t.targets[id] = tgt
	at := sort.Search(len(t.sortedTargets), func(n int) bool { return t.sortedTargets[n].ID >= id })
	t.sortedTargets = append(t.sortedTargets, nil)
	copy(t.sortedTargets[at+1:], t.sortedTargets[at:])
	t.sortedTargets[at] = tgt
	return tgt
}

// targetsInPool returns the listed targets of a pool.
func (t *Table) targetsInPool(pool string) []*target {
	if t.targetsByPool == nil {
		t.targetsByPool = map[string][]*target{}
		for _, tgt := range t.sortedTargets {
			if tgt.listed {
				t.targetsByPool[tgt.Pool] = append(t.targetsByPool[tgt.Pool], tgt)
			}
		}
	}
	return t.targetsByPool[pool]
}

// dropUnusedTargets drops targets that are unlisted, run nothing, have no unrecorded ends and can receive no delayed start.
func (t *Table) dropUnusedTargets(now time.Duration) {
	kept := t.sortedTargets[:0]
	for _, tgt := range t.sortedTargets {
		if tgt.listed || len(tgt.runs) > 0 || tgt.lastAppliedEnd > tgt.lastRecordedEnd || tgt.mayReceiveDelayedStarts(now) {
			kept = append(kept, tgt)
			continue
		}
		delete(t.targets, tgt.ID)
		if t.targetByAddress[tgt.Address] == tgt {
			delete(t.targetByAddress, tgt.Address)
		}
	}
	clear(t.sortedTargets[len(kept):])
	t.sortedTargets = kept
}

// mayReceiveDelayedStarts reports whether an unanswered or revoked start may still be delivered to the target.
func (t *target) mayReceiveDelayedStarts(now time.Duration) bool {
	for _, list := range [][]delayedStart{t.revoked, t.unanswered} {
		for _, start := range list {
			if now < start.deliverableUntil {
				return true
			}
		}
	}
	return false
}
