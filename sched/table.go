package sched

import (
	"sort"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// lease is how long a target runs on without word from the holder: long enough for a takeover of about two seconds after a missed renewal, short enough that work on a lost target restarts soon.
const lease = 5 * time.Second

// MaxUnconfirmedRenewal is how long a holder may renew leases that neither the store nor most of its followers confirm.
const MaxUnconfirmedRenewal = 3 * time.Second

// unheldLease is how long after a takeover an unreachable target may run what an earlier holder started: that holder's unconfirmed renewals, and one lease on the slowest clock.
const unheldLease = MaxUnconfirmedRenewal + lease + lease/40 + leaseMargin

// Event explains a decision for the log.
type Event struct {
	Kind    string
	Subject string
	Cause   string
	Detail  string
}

// Table holds all that the holder knows of jobs and targets.
type Table struct {
	bounds work.Bounds
	config *work.Config
	token  int64
	// began is when this holder took over.
	began time.Duration

	jobs    map[work.JobID]*job
	active  []*job
	targets map[work.TargetID]*target
	// order holds the targets by identifier, so that decisions do not depend on map order.
	order []*target
	// inPool holds the listed targets of each pool; it is made anew after a change of the list.
	inPool map[string][]*target
	usage  map[string]work.Resources
	// pasts holds what each queue's ended runs have shown.
	pasts map[string]*pastRuns

	// queue holds the steps that wait, from the last plan; it is kept for its memory.
	queue []candidate

	dirty  []*job
	orders []Order
	held   []Order
	events []Event
	// questions are for the advice service.
	questions []AdviceRequest
	deposed   bool

	hosts     map[string]*host
	hostOrder []*host
	// node is the process's name, by which the cloud knows the holder.
	node string
	// hostRecords holds the last order for each host that an earlier holder recorded.
	hostRecords map[string]work.HostOrderRecord
	hostsRead   bool
	hostOrders  []HostOrder
	// hostBucket limits orders for hosts to what the cloud takes.
	hostBucket bucket
	// barred holds moves that the cloud does not take, as host/pool.
	barred    map[string]bool
	waves     map[int64]*waveRow
	waveOrder []*waveRow
	pools     map[string]*poolRow
	// hostsAt is when hosts were planned last.
	hostsAt time.Duration
	// sharesAt is when teams' shares were added up last.
	sharesAt time.Duration
	// poolsAt is when the pools' sizes were explained last.
	poolsAt time.Duration
	// wallOffset is the time of day in milliseconds since 1970 at time 0.
	wallOffset int64
}

// Option changes how a Table is built.
type Option func(*Table)

// WithToken sets the holder's fencing token and the time of its takeover.
func WithToken(token int64, now time.Duration) Option {
	return func(t *Table) { t.token, t.began = token, now }
}

// WithNode sets the name by which the cloud knows the holder.
func WithNode(node string) Option { return func(t *Table) { t.node = node } }

// WithHostRate sets how many orders for hosts the cloud takes a second; 0 is no limit.
func WithHostRate(perSecond float64) Option {
	return func(t *Table) { t.hostBucket = newBucket(perSecond * hostRateShare) }
}

// hostRateShare leaves a part of the cloud's rate to calls of another holder that overlap.
const hostRateShare = 0.8

// New returns an empty table.
func New(bounds work.Bounds, opts ...Option) *Table {
	t := &Table{
		bounds: bounds, config: &work.Config{}, jobs: map[work.JobID]*job{},
		targets: map[work.TargetID]*target{}, usage: map[string]work.Resources{}, pasts: map[string]*pastRuns{},
		hosts: map[string]*host{}, hostRecords: map[string]work.HostOrderRecord{}, barred: map[string]bool{},
		waves: map[int64]*waveRow{}, pools: map[string]*poolRow{},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Token returns the holder's fencing token.
func (t *Table) Token() int64 { return t.token }

// Deposed reports whether a target has seen a higher token.
func (t *Table) Deposed() bool { return t.deposed }

// SetWallClock tells the time of day in milliseconds since 1970 at the given time.
func (t *Table) SetWallClock(ms int64, now time.Duration) { t.wallOffset = ms - now.Milliseconds() }

func (t *Table) wallMs(now time.Duration) int64 { return t.wallOffset + now.Milliseconds() }

// Configure puts a configuration in force; an older one than the present is ignored.
func (t *Table) Configure(c *work.Config) bool {
	if c.Version <= t.config.Version {
		return false
	}
	t.config = c
	for _, j := range t.active {
		if q, ok := c.Queue(j.rec.Queue); ok {
			j.queue = q
		}
	}
	return true
}

// Accept adds a job that the store holds and reports whether it is new.
func (t *Table) Accept(rec *work.Job, now time.Duration) bool {
	if _, known := t.jobs[rec.ID]; known {
		return false
	}
	j := t.add(rec, now)
	t.pool(j.queue.Pool).arrive(rec, t.past(j.queue.Name), now)
	return true
}

func (t *Table) add(rec *work.Job, now time.Duration) *job {
	q, ok := t.config.Queue(rec.Queue)
	if !ok {
		q = &work.Queue{Name: rec.Queue, Pool: rec.Pool, MaxAttempts: 1, SlackFactor: 1}
	}
	j := newJob(rec, q, now)
	t.jobs[rec.ID] = j
	t.active = append(t.active, j)
	return j
}

// Known reports whether the job was accepted.
func (t *Table) Known(id work.JobID) bool {
	_, ok := t.jobs[id]
	return ok
}

// Lookup returns the team of a job and the state that the store holds of it.
func (t *Table) Lookup(id work.JobID) (team string, state work.State, known bool) {
	j, ok := t.jobs[id]
	if !ok {
		return "", work.Queued, false
	}
	state = j.shown
	if !state.Final() {
		state = work.Queued
		if j.begun {
			state = work.Running
		}
	}
	return j.rec.Team, state, true
}

// CountPendingJobs counts the queue's jobs of which no item has started.
func (t *Table) CountPendingJobs(queue string) int {
	n := 0
	for _, j := range t.active {
		if j.rec.Queue == queue && !j.begun && j.active() {
			n++
		}
	}
	return n
}

// Cancel marks a job cancelled and reports whether a record of it is still to be written.
func (t *Table) Cancel(id work.JobID, now time.Duration) bool {
	j, ok := t.jobs[id]
	if !ok || j.shown.Final() {
		return false
	}
	if j.cancelled {
		return j.dirty
	}
	if j.state.Final() {
		return true
	}
	j.cancelled = true
	j.state = work.Cancelled
	j.endedMs = t.wallMs(now)
	t.touch(j)
	t.stopAll(j, now)
	t.note("cancelled", string(id), "caller", j.rec.Queue)
	return true
}

// stopAll orders the end of everything of the job that may run.
func (t *Table) stopAll(j *job, now time.Duration) {
	for _, o := range j.occs {
		for _, s := range o.steps {
			for _, i := range s.items {
				if i.state == itemOrdered {
					t.stop(i, now)
				}
			}
		}
	}
}

func (t *Table) stop(i *item, now time.Duration) {
	if i.stopping {
		return
	}
	i.stopping, i.stopOrderedAt = true, now
	t.orders = append(t.orders, StopOrder{Target: i.target.ID, Item: i.id, Run: i.run})
}

func (t *Table) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		t.dirty = append(t.dirty, j)
	}
}

func (t *Table) note(kind, subject, cause, detail string) {
	t.events = append(t.events, Event{Kind: kind, Subject: subject, Cause: cause, Detail: detail})
}

// TakeEvents returns the explanations since the last call.
func (t *Table) TakeEvents() []Event {
	e := t.events
	t.events = nil
	return e
}

// UpsertTarget notes a target's own word on itself.
func (t *Table) UpsertTarget(w work.Target, now time.Duration) {
	row := t.target(w.ID)
	if row.listed && w.StartedMs != 0 && row.StartedMs > w.StartedMs {
		return
	}
	if !row.listed {
		t.note("listed", string(w.ID), "store", w.Pool)
	}
	if w.Draining && !row.Draining {
		t.note("draining", string(w.ID), "store", w.Pool)
	}
	if row.held && w.StartedMs != 0 && row.born != 0 && w.StartedMs != row.born {
		t.lifeOver(row, now, "new life")
		row.born = w.StartedMs
	}
	if !row.listed || row.Pool != w.Pool {
		t.inPool = nil
	}
	row.Target = w
	row.listed = true
	row.rack = w.Rack()
	if row.expireBy == 0 && !row.held && len(row.runs) > 0 {
		row.expireBy = t.began + unheldLease
	}
}

// RemoveTarget notes that a target's entry was removed from the store.
func (t *Table) RemoveTarget(id work.TargetID) {
	if row, ok := t.targets[id]; ok && row.listed {
		row.listed = false
		t.inPool = nil
		t.note("unlisted", string(id), "store", row.Pool)
	}
}

// Targets returns the targets that are to be called: those in the store and those that may still run something.
func (t *Table) Targets() []work.Target {
	var list []work.Target
	for _, row := range t.order {
		if row.Address != "" && (row.listed || len(row.runs) > 0) {
			list = append(list, row.Target)
		}
	}
	return list
}

// CountBusyTargets counts the targets that run something, whose leases are to be renewed.
func (t *Table) CountBusyTargets() int {
	n := 0
	for _, row := range t.order {
		if len(row.runs) > 0 {
			n++
		}
	}
	return n
}

func (t *Table) target(id work.TargetID) *target {
	if row, ok := t.targets[id]; ok {
		return row
	}
	row := &target{Target: work.Target{ID: id}, pacing: paceFull}
	t.targets[id] = row
	at := sort.Search(len(t.order), func(n int) bool { return t.order[n].ID >= id })
	t.order = append(t.order, nil)
	copy(t.order[at+1:], t.order[at:])
	t.order[at] = row
	return row
}

// targetsOf returns the listed targets of a pool.
func (t *Table) targetsOf(pool string) []*target {
	if t.inPool == nil {
		t.inPool = map[string][]*target{}
		for _, row := range t.order {
			if row.listed {
				t.inPool[row.Pool] = append(t.inPool[row.Pool], row)
			}
		}
	}
	return t.inPool[pool]
}

// forget drops targets that are not listed, run nothing and owe nothing.
func (t *Table) forget(now time.Duration) {
	kept := t.order[:0]
	for _, row := range t.order {
		if row.listed || len(row.runs) > 0 || row.seen > row.recorded || row.owes(now) {
			kept = append(kept, row)
			continue
		}
		delete(t.targets, row.ID)
	}
	clear(t.order[len(kept):])
	t.order = kept
}

// owes reports whether orders for the target may still be on their way.
func (t *target) owes(now time.Duration) bool {
	for _, list := range [][]voidedRun{t.voided, t.unsettled} {
		for _, b := range list {
			if now < b.until {
				return true
			}
		}
	}
	return false
}
