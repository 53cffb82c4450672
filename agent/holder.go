package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// Intervals, pauses and time limits of the holder's work.
const (
	// minFlushInterval is the least time between two appends of progress, so that one append carries many starts and ends.
	minFlushInterval = 30 * time.Millisecond
	// minStepPause is the least pause after a step of the table, so that one step handles all events that arrive meanwhile.
	minStepPause = 8 * time.Millisecond
	// stepRestFactor is the ratio of the pause after a step to the duration of the step, so that steps use at most a fifth of the processor time.
	stepRestFactor = 4
	// tickInterval is how often the table is stepped without events.
	tickInterval = 100 * time.Millisecond
	// minTargetsPause is the pause after a read of the targets' topic. It is short because a moved host can be used only once its target is known.
	minTargetsPause = 120 * time.Millisecond
	// longPoll is how long a read of a direct partition waits for new records.
	longPoll = 2 * time.Second
	// targetsPoll is how long a read of the targets' topic waits. Targets write there all the time, so that a longer wait shows a lost answer.
	targetsPoll = time.Second
	// maxAppendFailure is how long appends may fail before the holder reports that it cannot write to the store, so that another process takes over.
	maxAppendFailure = 700 * time.Millisecond
)

// Holder runs the scheduling for one epoch. The number of the epoch is also the fencing token of the holder's orders.
type Holder struct {
	agent       *Agent
	epoch       int64
	progress    *fencedWriter
	cloud       *platform.CloudClient
	advisor     *platform.AdvisorClient
	adviceQueue chan sched.AdviceRequest
	intake      *intake
	// directRemovers remove records of jobs from the direct partitions.
	directRemovers [directPartitions]*fencedWriter
	// resigned means that the holder ended its epoch itself, so that a successor may claim without waiting for a timeout.
	resigned atomic.Bool
	// confirmedAt is when the last successful read of the holder's record began. A read that finds a later claim ends the epoch.
	confirmedAt atomic.Int64
	// renewalsSuspended means that the drivers were last told not to renew leases.
	renewalsSuspended atomic.Bool
	ready             atomic.Bool
	// fencedMs is the process time at which the store had begun to reject the records of earlier holders, 0 before.
	fencedMs atomic.Int64
	cancel   context.CancelCauseFunc
	ctx      context.Context
	wake     chan struct{}
	// bursts holds an element for each connection that a driver has reserved for orders beside the first of their class.
	bursts chan struct{}
	// renewPause is the pause between a target's reply to a renewal and its next renewal, in nanoseconds.
	renewPause atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	table   *sched.Table
	drivers map[work.TargetID]*driver
	// driversStale means that the targets have changed since driversSyncedAt, when the drivers were last matched with them.
	driversStale    bool
	driversSyncedAt time.Duration
	// cancelWaiters holds the callers that wait for a cancellation to be recorded.
	cancelWaiters map[work.JobID][]chan struct{}
	// postponed holds jobs that were submitted while records of earlier jobs with their identifiers were being removed.
	postponed []*submission
	// directOffsets holds the next offset to read from each direct partition.
	directOffsets [directPartitions]int64
}

// maxBursts bounds the connections to all targets for orders beside the first of their class. With 1,100 targets and three connections to each, they fit the 3,900 descriptors of a small process also if each order is repeated twice.
const maxBursts = 192

// reserveBurst reserves a connection for one more order to a target, and reports whether there is one left.
func (h *Holder) reserveBurst() bool {
	select {
	case h.bursts <- struct{}{}:
		return true
	default:
		return false
	}
}

// releaseBursts leaves reserved connections to other drivers.
func (h *Holder) releaseBursts(n int) {
	for range n {
		<-h.bursts
	}
}

// DeposedError is the cause of an epoch's end if another process became the holder, or if this one resigned or is stopping.
type DeposedError struct {
	Cause string
}

// Error names the cause.
func (e *DeposedError) Error() string { return "no longer the holder: " + e.Cause }

// newHolder returns the holder of an epoch; the caller holds the agent's lock.
func newHolder(a *Agent, epoch int64) *Holder {
	h := &Holder{
		agent: a, epoch: epoch, wake: make(chan struct{}, 1),
		table: sched.New(a.settings.Bounds, sched.WithToken(epoch, a.clock.Now()), sched.WithNode(a.settings.Node),
			sched.WithPredecessor(a.predecessor), sched.WithProcessOrigin(a.clock.startWallMs),
			sched.WithHostRate(a.settings.Cloud.ActionsPerS), sched.WithRecordLimit(a.settings.Store.RecordBytes), sched.WithFeatures(a.features)),
		bursts:  make(chan struct{}, maxBursts),
		drivers: map[work.TargetID]*driver{}, cancelWaiters: map[work.JobID][]chan struct{}{},
	}
	h.renewPause.Store(int64(minRenewPause))
	h.progress = newFencedWriter(a, progressTopic, 0, epoch)
	h.intake = newIntake(h, newFencedWriter(a, jobsTopic, holderPartition, epoch))
	for n := range h.directRemovers {
		h.directRemovers[n] = newFencedWriter(a, jobsTopic, directFirstPartition+n, epoch)
	}
	h.cloud = platform.NewCloudClient(a.settings.Cloud.Address, a.settings.Node, maxHostOrders)
	h.advisor = platform.NewAdvisorClient(a.settings.AdvisorAddress)
	h.adviceQueue = make(chan sched.AdviceRequest, adviceQueueSize)
	h.ctx, h.cancel = context.WithCancelCause(context.Background())
	return h
}

// depose ends the epoch, also when the process itself is stopping: all work of the holder stops.
func (h *Holder) depose(cause string) { h.cancel(&DeposedError{Cause: cause}) }

// resign ends the epoch and lets a successor claim without waiting for a timeout.
func (h *Holder) resign() {
	h.resigned.Store(true)
	h.depose("process is stopping")
}

// run recovers the state from the store and schedules until the epoch or the context ends.
func (h *Holder) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { h.depose("process context ended") })
	defer stop()
	// The cloud does not check fencing tokens, so no order may be under way once the epoch has ended.
	context.AfterFunc(h.ctx, h.cloud.Close)
	began := h.agent.clock.Now()
	var err error
	if failure := h.agent.guard("the state in the store", func() { err = h.recover() }); failure != nil {
		err = failure
	}
	if err != nil {
		h.cancel(err)
		return trace.Wrap(err)
	}
	h.ready.Store(true)
	h.agent.log.Info("recovered", zap.Int64("epoch", h.epoch), zap.Duration("took", h.agent.clock.Now()-began))
	go h.intake.run()
	for n := range directPartitions {
		go h.tailDirect(n)
	}
	go h.tailTargets()
	go h.confirmLoop()
	go h.pollHosts()
	go h.reportWaves()
	go h.adviceLoop()
	go h.yieldLoop()
	go h.removeLoop()
	h.loop()
	h.ready.Store(false)
	h.mu.Lock()
	for _, d := range h.drivers {
		d.close()
	}
	h.mu.Unlock()
	h.intake.close()
	return context.Cause(h.ctx)
}

// wakeLoop makes the loop step the table soon.
func (h *Holder) wakeLoop() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// loop steps the table and writes what changed to the store. Orders that need a record are sent only after it is written.
func (h *Holder) loop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	stepTimer := newEarliestTimer()
	defer stepTimer.stop()
	writeResult := make(chan error, 1)
	var batch *sched.Batch
	var flushedAt, nextStep time.Duration
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.wake:
			stepTimer.set(nextStep - h.agent.clock.Now())
			continue
		case <-tick.C:
			h.agent.clock.AddSuspension()
			stepTimer.set(nextStep - h.agent.clock.Now())
			continue
		case err := <-writeResult:
			refused, ok := refusedKeys(err)
			if !ok {
				h.cancel(err)
				return
			}
			h.finishBatch(batch, refused, flushedAt)
			batch = nil
			stepTimer.set(nextStep - h.agent.clock.Now())
			continue
		case <-stepTimer.C():
			stepTimer.markFired()
		}
		began := h.agent.clock.Now()
		if wait := minFlushInterval - (began - flushedAt); batch == nil && wait > 0 {
			stepTimer.set(wait)
			continue
		}
		h.step()
		nextStep = nextStepAt(began, h.agent.clock.Now())
		if batch != nil {
			continue
		}
		next, err := h.nextBatch()
		if err != nil {
			h.cancel(err)
			return
		}
		if next == nil {
			continue
		}
		batch, flushedAt = next, h.agent.clock.Now()
		go func() { writeResult <- h.writeBatch(next) }()
	}
}

// nextStepAt is when the table may be stepped again; the pause leaves most of the processor to calls.
func nextStepAt(began, ended time.Duration) time.Duration {
	return ended + max(minStepPause, stepRestFactor*(ended-began))
}

// step runs the planning of the table and passes on the resulting orders, events and requests for advice.
func (h *Holder) step() {
	h.agent.clock.AddSuspension()
	now := h.agent.clock.Now()
	var events []sched.Event
	var adviceRequests []sched.AdviceRequest
	var deposed bool
	var expectationErrors []float64
	var evictions sched.Evictions
	err := h.guardTable("a step of the table", func() {
		h.table.SetWallClock(time.Now().UnixMilli(), now)
		h.table.Plan(now)
		orders := h.table.TakeOrders()
		evictions = h.table.TakeEvictions()
		events, adviceRequests, deposed = h.table.TakeEvents(), h.table.TakeAdviceRequests(), h.table.Deposed()
		expectationErrors = h.table.TakeExpectationErrors()
		if h.driversStale || now-h.driversSyncedAt >= tickInterval {
			h.driversStale, h.driversSyncedAt = false, now
			h.syncDrivers()
		}
		h.dispatch(orders)
	})
	if err != nil {
		// What the step has left undone is not known, so the next holder reads the state from the store.
		h.cancel(err)
		return
	}
	h.logEvents(events)
	for _, ratio := range expectationErrors {
		h.agent.meters.expectError.RecordValue(ratio)
	}
	h.agent.meters.countEvictions(evictions)
	h.queueAdvice(adviceRequests)
	if deposed {
		h.depose("a target has seen a higher fencing token")
	}
}

// logEvents logs the decisions of the table and counts them by kind.
func (h *Holder) logEvents(events []sched.Event) {
	for _, e := range events {
		h.agent.meters.countDecision(e.Kind)
		h.agent.log.Info(e.Kind, zap.String("subject", e.Subject), zap.String("cause", e.Cause), zap.String("detail", e.Detail), zap.Int64("epoch", h.epoch))
	}
}

// nextBatch returns the next batch to write, or nil if there is none. A batch without entries needs no write, so its orders are sent at once.
func (h *Holder) nextBatch() (*sched.Batch, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, err := h.table.Flush(h.agent.clock.Now())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if b.Empty() {
		return nil, nil
	}
	if len(b.Entries) == 0 {
		h.table.Flushed(b)
		h.dispatch(b.Orders)
		h.wakeAcknowledged(b)
		return nil, nil
	}
	return b, nil
}

// writeBatch appends the entries of a batch to the progress topic.
func (h *Holder) writeBatch(b *sched.Batch) error {
	records := make([]platform.Record, len(b.Entries))
	for i, e := range b.Entries {
		records[i] = platform.Record{Key: e.Key, Value: e.Value}
	}
	_, err := h.progress.append(h.ctx, records)
	return err
}

// finishBatch sends the orders of a batch that is written, but for the records that the store refused, and wakes the callers who wait for a final state that it records. The write began at flushedAt.
func (h *Holder) finishBatch(b *sched.Batch, refused []string, flushedAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(refused) > 0 {
		h.table.Refused(b, refused, h.agent.clock.Now())
	}
	for _, o := range b.HostOrders {
		go h.sendHostOrder(o, flushedAt)
	}
	h.table.Flushed(b)
	h.acceptPostponed()
	h.dispatch(b.Orders)
	h.wakeAcknowledged(b)
	for _, id := range b.EndedJobs() {
		for _, c := range h.cancelWaiters[id] {
			close(c)
		}
		delete(h.cancelWaiters, id)
	}
}

// wakeAcknowledged wakes the drivers of the targets whose ends the store holds now, because an idle target is renewed only once it can forget its ends; the caller holds the lock.
func (h *Holder) wakeAcknowledged(b *sched.Batch) {
	for _, id := range b.Acknowledged() {
		if d, ok := h.drivers[id]; ok {
			signal(d.renewNow)
		}
	}
}

// syncDrivers starts a driver for each new target and closes those of removed ones; the caller holds the lock.
func (h *Holder) syncDrivers() {
	h.renewPause.Store(int64(h.agent.link.renewPause(h.table.CountBusyTargets())))
	wanted := h.table.Targets()
	keep := make(map[work.TargetID]bool, len(wanted))
	for _, t := range wanted {
		keep[t.ID] = true
		d, ok := h.drivers[t.ID]
		if ok && d.address != t.Address {
			d.close()
			ok = false
		}
		if !ok {
			d = newDriver(h, t.ID, t.Address)
			h.drivers[t.ID] = d
			d.start()
		}
	}
	for id, d := range h.drivers {
		if !keep[id] {
			d.close()
			delete(h.drivers, id)
		}
	}
}

// dispatch queues orders at the targets' drivers; the caller holds the lock.
func (h *Holder) dispatch(orders []sched.Order) {
	for _, o := range orders {
		if d, ok := h.drivers[sched.TargetOf(o)]; ok {
			d.enqueue(o)
		}
	}
}

// applyConfig passes the configuration that is in force to the table.
func (h *Holder) applyConfig() {
	h.mu.Lock()
	h.table.Configure(h.agent.config.Load().config)
	h.mu.Unlock()
	h.wakeLoop()
}

// addWave passes a maintenance wave that operators announced at the given time to the table.
func (h *Holder) addWave(w work.Wave, since time.Duration) {
	h.mu.Lock()
	h.table.AddWave(w, since)
	h.mu.Unlock()
	h.wakeLoop()
}

// applyEvacuations passes the evacuations that are known now to the table.
func (h *Holder) applyEvacuations() {
	changed := false
	// A failed update is logged, and the zones before it stay evacuated.
	_ = h.guardTable("evacuations", func() { changed = h.setEvacuations() })
	if changed {
		h.wakeLoop()
	}
}

// setEvacuations passes the evacuations that are known now to the table and reports whether they have changed; the caller holds the lock, so that no earlier ones follow later ones.
func (h *Holder) setEvacuations() bool {
	// The set is at least as new as the time that was loaded before it.
	readAt := time.Duration(h.agent.operatorsReadAt.Load())
	changed := h.table.SetEvacuated(h.agent.evacuations.Load().Zones(), h.agent.clock.Now())
	h.table.ConfirmOperatorRecords(readAt)
	return changed
}

// HandleRequest handles a caller's request, or replies that this process is not the holder.
func (a *Agent) HandleRequest(request mesh.Request) mesh.Reply {
	h := a.activeHolder()
	if h == nil || !h.ready.Load() {
		return mesh.Reply{Outcome: mesh.NotHolder}
	}
	var reply mesh.Reply
	if err := a.guard("request for job "+string(request.ID), func() { reply = h.handleRequest(request) }); err != nil {
		return mesh.Reply{Outcome: mesh.Undecided, Cause: "the holder failed on this request"}
	}
	return reply
}
