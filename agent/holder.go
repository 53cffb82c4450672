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

// Timing of the holder's work.
const (
	// flushEvery is the least time between two records of progress, so that one append carries many starts and ends.
	flushEvery = 30 * time.Millisecond
	// stepEvery is the least time between two steps of the tables; news that come meanwhile are taken together.
	stepEvery = 8 * time.Millisecond
	// stepRest is how many times as long as a step took the next one waits, so that steps take a fifth of the processor at most.
	stepRest = 4
	// tickEvery is how often the tables are stepped when nothing happens.
	tickEvery = 100 * time.Millisecond
	// targetsEvery is the least time between two reads of targets' news; a host that was moved is of use once its target is known.
	targetsEvery = 120 * time.Millisecond
	// directPoll is how long a read waits for jobs that were written past the holder.
	directPoll = 2 * time.Second
	// troubledAfter is how long appends may fail before another process should hold.
	troubledAfter = 700 * time.Millisecond
)

// Holder runs the scheduling for one epoch.
type Holder struct {
	agent    *Agent
	epoch    int64
	progress *stream
	cloud    *platform.CloudClient
	// hostSlots bounds the orders that are on their way to the cloud.
	hostSlots chan struct{}
	advisor   *platform.AdvisorClient
	advice    chan sched.AdviceRequest
	intake    *intake
	resigned  atomic.Bool
	// confirmedAt is when the store was last asked with the answer that no later holder has claimed.
	confirmedAt atomic.Int64
	ready       atomic.Bool
	cancel      context.CancelCauseFunc
	ctx         context.Context
	wake        chan struct{}
	// renewGap is the least time between two renewals of a target.
	renewGap atomic.Int64

	mu      sync.Mutex
	table   *sched.Table
	drivers map[work.TargetID]*driver
	// driversDue means that the targets have changed since the drivers were matched with them, at driversAt.
	driversDue bool
	driversAt  time.Duration
	// waiting holds callers whose cancellation is being recorded.
	waiting map[work.JobID][]chan struct{}
	// directNext holds the next offsets of the jobs that were written past the holder.
	directNext [directParts]int64
}

// DeposedError ends a holder's epoch.
type DeposedError struct {
	Cause string
}

// Error names the cause.
func (e *DeposedError) Error() string { return "no longer the holder: " + e.Cause }

func newHolder(a *Agent, epoch int64) *Holder {
	h := &Holder{
		agent: a, epoch: epoch, wake: make(chan struct{}, 1),
		table: sched.New(a.settings.Bounds, sched.WithToken(epoch, a.clock.Now()), sched.WithNode(a.settings.Node),
			sched.WithHostRate(a.settings.Cloud.ActionsPerS)),
		drivers: map[work.TargetID]*driver{}, waiting: map[work.JobID][]chan struct{}{},
	}
	h.renewGap.Store(int64(renewGapLeast))
	h.progress = &stream{agent: a, topic: progressTopic, part: 0, epoch: epoch}
	h.intake = newIntake(h, &stream{agent: a, topic: jobsTopic, part: holderPart, epoch: epoch})
	h.cloud = platform.NewCloudClient(a.settings.Cloud.Address, a.settings.Node, hostCalls)
	h.hostSlots = make(chan struct{}, hostCalls)
	h.advisor = platform.NewAdvisorClient(a.settings.AdvisorAddress)
	h.advice = make(chan sched.AdviceRequest, adviceQueue)
	h.ctx, h.cancel = context.WithCancelCause(context.Background())
	return h
}

// depose ends the epoch.
func (h *Holder) depose(cause string) { h.cancel(&DeposedError{Cause: cause}) }

// resign ends the epoch so that another process may take over at once.
func (h *Holder) resign() {
	h.resigned.Store(true)
	h.depose("process stops")
}

// run takes over and schedules until the epoch or the context ends.
func (h *Holder) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { h.depose("process ends") })
	defer stop()
	began := h.agent.clock.Now()
	if err := h.recover(); err != nil {
		h.cancel(err)
		return trace.Wrap(err)
	}
	h.ready.Store(true)
	h.agent.log.Info("recovered", zap.Int64("epoch", h.epoch), zap.Duration("took", h.agent.clock.Now()-began))
	go h.intake.run()
	for n := range directParts {
		go h.tailDirect(n)
	}
	go h.tailTargets()
	go h.confirm()
	go h.listHosts()
	go h.tellWaves()
	go h.askAdvice()
	go h.yield()
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

// poke makes the loop step the tables soon.
func (h *Holder) poke() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// loop steps the tables, records what changed and sends orders once it is recorded.
func (h *Holder) loop() {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	due := newAlarm()
	defer due.stop()
	written := make(chan error, 1)
	var batch *sched.Batch
	var flushedAt, nextStep time.Duration
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.wake:
			due.set(nextStep - h.agent.clock.Now())
			continue
		case <-tick.C:
			h.agent.clock.AddSuspension()
			due.set(nextStep - h.agent.clock.Now())
			continue
		case err := <-written:
			if err != nil {
				h.cancel(err)
				return
			}
			h.flushed(batch, flushedAt)
			batch = nil
			due.set(nextStep - h.agent.clock.Now())
			continue
		case <-due.C():
			due.rang()
		}
		began := h.agent.clock.Now()
		if wait := flushEvery - (began - flushedAt); batch == nil && wait > 0 {
			due.set(wait)
			continue
		}
		h.step()
		nextStep = restAfter(began, h.agent.clock.Now())
		if batch != nil {
			continue
		}
		next, err := h.flush()
		if err != nil {
			h.cancel(err)
			return
		}
		if next == nil {
			continue
		}
		batch, flushedAt = next, h.agent.clock.Now()
		go func() { written <- h.write(next) }()
	}
}

// restAfter is when the tables may be stepped again, so that steps leave most of the processor to calls.
func restAfter(began, ended time.Duration) time.Duration {
	return ended + max(stepEvery, stepRest*(ended-began))
}

func (h *Holder) step() {
	now := h.agent.clock.Now()
	h.mu.Lock()
	h.table.SetWallClock(time.Now().UnixMilli(), now)
	h.table.Plan(now)
	orders := h.table.TakeOrders()
	events := h.table.TakeEvents()
	questions := h.table.TakeAdviceRequests()
	deposed := h.table.Deposed()
	if h.driversDue || now-h.driversAt >= tickEvery {
		h.driversDue, h.driversAt = false, now
		h.syncDrivers()
	}
	h.dispatch(orders)
	h.mu.Unlock()
	h.explain(events)
	h.seekAdvice(questions)
	if deposed {
		h.depose("a target has seen a later holder")
	}
}

func (h *Holder) explain(events []sched.Event) {
	for _, e := range events {
		h.agent.meters.count(e.Kind)
		h.agent.log.Info(e.Kind, zap.String("subject", e.Subject), zap.String("cause", e.Cause), zap.String("detail", e.Detail), zap.Int64("epoch", h.epoch))
	}
}

// flush takes the next batch, or nil if there is nothing to write.
func (h *Holder) flush() (*sched.Batch, error) {
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
		return nil, nil
	}
	return b, nil
}

func (h *Holder) write(b *sched.Batch) error {
	records := make([]platform.Record, len(b.Entries))
	for i, e := range b.Entries {
		records[i] = platform.Record{Key: e.Key, Value: e.Value}
	}
	_, err := h.progress.append(h.ctx, records)
	return err
}

func (h *Holder) flushed(b *sched.Batch, began time.Duration) {
	for _, o := range b.HostOrders {
		go h.orderHost(o, began)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Flushed(b)
	h.dispatch(b.Orders)
	for _, id := range b.Jobs() {
		for _, c := range h.waiting[id] {
			close(c)
		}
		delete(h.waiting, id)
	}
}

// syncDrivers starts and ends the drivers of targets; the caller holds the lock.
func (h *Holder) syncDrivers() {
	h.renewGap.Store(int64(h.agent.link.renewGap(h.table.CountBusyTargets())))
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

// dispatch hands orders to the targets' drivers; the caller holds the lock.
func (h *Holder) dispatch(orders []sched.Order) {
	for _, o := range orders {
		if d, ok := h.drivers[sched.TargetOf(o)]; ok {
			d.give(o)
		}
	}
}

func (h *Holder) configure(c *work.Config) {
	h.mu.Lock()
	h.table.Configure(c)
	h.mu.Unlock()
	h.poke()
}

func (h *Holder) addWave(w work.Wave, since time.Duration) {
	h.mu.Lock()
	h.table.AddWave(w, since)
	h.mu.Unlock()
	h.poke()
}

// HandleRequest answers a caller's request here or says that this process does not hold.
func (a *Agent) HandleRequest(q mesh.Request) mesh.Reply {
	h := a.current()
	if h == nil || !h.ready.Load() {
		return mesh.Reply{Outcome: mesh.NotHolder}
	}
	return h.ask(q)
}
