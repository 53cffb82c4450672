package agent

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/outbox"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// Timeouts and intervals of calls to targets.
const (
	// renewPoll is how long a target waits for a run to end before it replies to a renewal. It is short enough for three renewals within a lease.
	renewPoll = 1200 * time.Millisecond
	// shortRenewPoll replaces renewPoll while a serving item starts, so that the end of the start is noticed soon; it is a fraction of the time that a start takes.
	shortRenewPoll = 200 * time.Millisecond
	// minRenewPause is the least pause between the reply to a renewal and the next renewal, so that one reply reports the ends of several runs.
	minRenewPause = 120 * time.Millisecond
	// trialRenewPause is the pause between renewals of a target that tries an item, a fraction of the time that the item has to be seen active.
	trialRenewPause = 60 * time.Millisecond
	// orderTimeout bounds the wait for the reply to an order, which usually takes a few milliseconds. It is also how much longer than its poll a renewal may take.
	orderTimeout = 400 * time.Millisecond
	// renewRetryPause is the pause after a renewal without a reply, and between checks of whether the holder may renew leases again.
	renewRetryPause = 300 * time.Millisecond
	// minOrderLatency keeps orders from being repeated because this process was too busy to read an answer.
	minOrderLatency = 20 * time.Millisecond
	// lossyPeriod is how long after an unanswered order the target's renewals poll shortly, because they may be left unanswered too.
	lossyPeriod = 3 * time.Second
	// maxIdleWait is the longest time that the driver of an idle target waits for an order before it checks again whether the target needs a renewal.
	maxIdleWait = 5 * time.Second
)

// driver calls one target. It renews the target's lease over one connection and sends orders over others, so that a polling renewal does not delay them, and no order waits for the reply to another one for long.
type driver struct {
	holder  *Holder
	id      work.TargetID
	address string
	// client is for the first order of each class, and renewals is for renewals, which no order delays.
	client   *platform.TargetClient
	renewals *platform.TargetClient
	// burst is for stops beside the first one.
	burst     *platform.TargetClient
	done      chan struct{}
	closeOnce sync.Once
	// renewNow wakes renewLoop while the target is idle, when an order is queued or the target has reported itself to the store.
	renewNow chan struct{}
	// latency is the average latency of orders, and lossyUntil the time until which renewals poll shortly because orders were left unanswered.
	latency    latencyAverage
	lossyUntil atomic.Int64

	mu     sync.Mutex
	orders *outbox.Queue
	// bursts is how many of the holder's burst connections the driver has reserved.
	bursts int
	// retryAt is when the queue is looked at again for orders to be repeated, 0 if it is not.
	retryAt time.Duration
}

func newDriver(h *Holder, id work.TargetID, address string) *driver {
	return &driver{
		holder: h, id: id, address: address, client: platform.NewTargetClient(id, address), renewals: platform.NewTargetClient(id, address), burst: platform.NewBurstClient(id, address),
		done: make(chan struct{}), renewNow: make(chan struct{}, 1), orders: outbox.New(),
	}
}

func (d *driver) start() { go d.renewLoop() }

func (d *driver) close() {
	d.closeOnce.Do(func() {
		close(d.done)
		d.client.Close()
		d.renewals.Close()
		d.burst.Close()
	})
}

// enqueue queues an order for the target.
func (d *driver) enqueue(o sched.Order) {
	d.mu.Lock()
	d.orders.Push(o, d.holder.agent.clock.Now())
	d.mu.Unlock()
	d.sendQueued()
	signal(d.renewNow)
}

// signal wakes the reader of the channel and does not block if a signal is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits and reports whether the driver is still open.
func (d *driver) pause(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-d.done:
		return false
	case <-timer.C:
		return true
	}
}

// renewLoop renews the target's lease; the replies report the active and the ended runs.
func (d *driver) renewLoop() {
	for {
		h := d.holder
		now := h.agent.clock.Now()
		h.mu.Lock()
		r := h.table.PrepareRenewal(d.id, now)
		h.mu.Unlock()
		if !r.Needed {
			if !d.waitForOrder() {
				return
			}
			continue
		}
		// A LeaseExpiryMs of 0 means that the call extends no lease: the target runs nothing or its clock is not known yet.
		if r.LeaseExpiryMs > 0 && !h.checkMayRenew() {
			h.mu.Lock()
			h.table.LeaseUnsent(d.id, r.Lease)
			h.mu.Unlock()
			if !d.pause(renewRetryPause) {
				return
			}
			continue
		}
		poll := renewPoll
		switch {
		case r.Watched:
		case r.LeaseExpiryMs == 0 || r.Unreachable || r.Trial:
			poll = 0
		case r.ShortPoll || now < time.Duration(d.lossyUntil.Load()):
			poll = shortRenewPoll
		}
		reply, err := d.renewals.RenewLease(r.LeaseExpiryMs, h.table.Token(), r.AcknowledgedEnd, poll, poll+orderTimeout)
		h.agent.meters.renewals.Inc(1)
		if !d.applyRenewal(&r, reply, err, now) {
			return
		}
	}
}

// applyRenewal applies the result of a renewal and pauses before the next one; it reports whether the driver is still open.
func (d *driver) applyRenewal(r *sched.Renewal, reply work.RenewalReply, err error, sent time.Duration) bool {
	h := d.holder
	now := h.agent.clock.Now()
	d.applyReply("renewal's reply", func() {
		switch {
		case isUnsent(err):
			h.table.LeaseUnsent(d.id, r.Lease)
			h.table.CallUnanswered(d.id, now)
		case err != nil:
			h.table.LeaseUnanswered(d.id, r.Lease)
			h.table.CallUnanswered(d.id, now)
		case reply.Status == work.OrderWrongTarget && d.isReplaced():
			// Another target has the former address, which says nothing about this one.
		default:
			if reply.Status == work.OrderDone {
				h.table.LeaseGranted(d.id, r.Lease)
			} else {
				h.table.LeaseUnanswered(d.id, r.Lease)
			}
			h.table.RenewalAnswered(d.id, reply, r.AcknowledgedEnd, sent, now)
		}
	})
	h.wakeLoop()
	switch {
	case err != nil && !r.Unreachable:
		// A single lost answer does not mean that the target is gone, so the renewal is repeated at once and without a poll.
		d.lossyUntil.Store(int64(now + lossyPeriod))
		return true
	case err != nil, reply.Status == work.OrderUnhealthy:
		return d.pause(renewRetryPause)
	// The reply has told the target's clock, or that the target is there, and the next renewal can extend the lease without a pause.
	case (r.ClockUnknown || r.Unconfirmed) && reply.Status == work.OrderDone:
		return true
	case r.Trial:
		return d.pause(trialRenewPause)
	default:
		return d.pause(time.Duration(h.renewPause.Load()))
	}
}

// isReplaced reports whether the target has another address by now; the caller holds the holder's lock.
func (d *driver) isReplaced() bool {
	present, ok := d.holder.drivers[d.id]
	return ok && present != d
}

// applyReply applies a reply of the target to the table. If this program cannot handle it, the target is set aside, so that its replies do not end one process after the other.
func (d *driver) applyReply(kind string, apply func()) {
	h := d.holder
	if err := h.guardTable(kind+" of target "+string(d.id), apply); err != nil {
		h.mu.Lock()
		h.table.SetAsideTarget(d.id, err.Error())
		h.mu.Unlock()
	}
}

// waitForOrder waits until an order is queued, a renewal is requested or maxIdleWait has passed; it reports whether the driver is still open.
func (d *driver) waitForOrder() bool {
	timer := time.NewTimer(maxIdleWait)
	defer timer.Stop()
	select {
	case <-d.done:
		return false
	case <-d.renewNow:
	case <-timer.C:
	}
	return true
}

// sendQueued begins to send the orders that may be sent now.
func (d *driver) sendQueued() {
	for {
		s, ok := d.nextOrder()
		if !ok {
			return
		}
		go d.sendOrders(s)
	}
}

// sendOrders sends an order and those that may be sent once it has ended.
func (d *driver) sendOrders(s outbox.Sending) {
	for ok := true; ok; {
		d.send(s)
		if s, ok = d.nextOrder(); ok {
			d.sendQueued()
		}
	}
}

// nextOrder returns the next order that may be sent now, if there is one. Otherwise it has the queue looked at again when an order is to be repeated.
func (d *driver) nextOrder() (outbox.Sending, bool) {
	h := d.holder
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.done:
		return outbox.Sending{}, false
	default:
	}
	now := h.agent.clock.Now()
	s, ok := d.orders.Next(now, d.reserveBurst)
	if ok {
		h.agent.meters.orderWait.RecordDuration(s.Waited)
		return s, true
	}
	if next, waits := d.orders.NextRetry(now); waits && (d.retryAt == 0 || next < d.retryAt) {
		d.retryAt = next
		time.AfterFunc(next-now, d.retry)
	}
	return s, false
}

// retry sends the orders whose repetition is due.
func (d *driver) retry() {
	d.mu.Lock()
	d.retryAt = 0
	d.mu.Unlock()
	d.sendQueued()
}

// send sends one order and queues it again if it gets no valid reply.
func (d *driver) send(s outbox.Sending) {
	h := d.holder
	client := d.client
	if s.Extra {
		client = d.burst
	}
	began := h.agent.clock.Now()
	sent, needed, err := d.sendOrder(s.Order, client)
	took := h.agent.clock.Now() - began
	if err != nil {
		d.recordUnanswered(sent, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil:
		d.orders.Unanswered(s, sent, took, h.agent.clock.Now())
	case needed:
		d.orders.Answered(s, took)
	default:
		d.orders.Dropped(s)
	}
	if d.orders.Extra() == 0 {
		d.endBurst()
	}
}

// reserveBurst reserves a connection for one more order at the same time, and reports whether there is one left; the caller holds the lock.
func (d *driver) reserveBurst() bool {
	if d.orders.Extra() < d.bursts {
		return true
	}
	if !d.holder.reserveBurst() {
		return false
	}
	d.bursts++
	return true
}

// endBurst closes the burst connections, none of which is in use, and leaves them to other drivers; the caller holds the lock.
func (d *driver) endBurst() {
	if d.bursts == 0 {
		return
	}
	d.burst.Close()
	d.holder.releaseBursts(d.bursts)
	d.bursts = 0
}

// startRun orders a run. An attempt that stays unanswered may still be delivered to a later incarnation of the target.
func (d *driver) startRun(o sched.StartOrder, client *platform.TargetClient) (work.OrderReply, error) {
	attempts := &startAttempts{driver: d, client: client, order: o}
	reply, made, err := d.hedge(attempts.call)
	if made > 1 {
		d.lossyUntil.Store(int64(d.holder.agent.clock.Now() + lossyPeriod))
		attempts.recordOutstanding(made)
	}
	if isUnsent(err) && attempts.maybeSent(made) {
		return reply, &platform.NoResponseError{Address: d.address, Cause: errLaterAttempt}
	}
	return reply, err
}

// errLaterAttempt is the cause of a start's failure whose last attempt was not sent, while an earlier one may have been.
var errLaterAttempt = errors.New("an earlier attempt may have been sent")

// isUnsent reports whether a call certainly was not sent.
func isUnsent(err error) bool {
	var unsent *platform.UnsentError
	return errors.As(err, &unsent)
}

// startAttempts counts the attempts of one start that the target has answered, and those that were certainly not sent.
type startAttempts struct {
	driver *driver
	client *platform.TargetClient
	order  sched.StartOrder

	mu       sync.Mutex
	answered int
	unsent   int
	// made is the number of attempts, 0 until the table knows that some of them are unanswered.
	made int
}

// call makes one attempt. If its answer is the last that was missing, the table forgets that any was.
func (s *startAttempts) call() (work.OrderReply, error) {
	reply, err := s.client.StartRun(s.order.Start, orderTimeout)
	if err != nil && !isUnsent(err) {
		return reply, err
	}
	s.mu.Lock()
	if err == nil {
		s.answered++
	} else {
		s.unsent++
	}
	settled := s.answered+s.unsent == s.made
	s.mu.Unlock()
	if settled {
		h := s.driver.holder
		h.mu.Lock()
		h.table.StartSettled(s.order)
		h.mu.Unlock()
	}
	return reply, err
}

// maybeSent reports whether one of the attempts that were made may have been sent.
func (s *startAttempts) maybeSent(made int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsent < made
}

// recordOutstanding tells the table that attempts are unanswered, unless all have been answered meanwhile.
func (s *startAttempts) recordOutstanding(made int) {
	h := s.driver.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	s.mu.Lock()
	s.made = made
	outstanding := s.answered+s.unsent < made
	s.mu.Unlock()
	if outstanding {
		h.table.StartOutstanding(s.order, h.agent.clock.Now())
	}
}

// hedge makes a call to the target that may be repeated, and repeats it while it is unanswered.
func (d *driver) hedge(call func() (work.OrderReply, error)) (work.OrderReply, int, error) {
	return hedged(d.holder.ctx, max(d.latency.get(), minOrderLatency), func() (work.OrderReply, error) {
		began := d.holder.agent.clock.Now()
		reply, err := call()
		if err == nil {
			d.latency.record(d.holder.agent.clock.Now() - began)
		}
		return reply, err
	}, func(error) bool { return false })
}

// recordUnanswered has the table note that an order got no valid reply.
func (d *driver) recordUnanswered(o sched.Order, err error) {
	h := d.holder
	var status *platform.UnexpectedStatusError
	if errors.As(err, &status) {
		h.agent.log.Error("target sent an unexpected reply", zap.String("target", string(d.id)), zap.Error(err))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	start, isStart := o.(sched.StartOrder)
	switch {
	case isStart && isUnsent(err):
		h.table.StartUnsent(start, h.agent.clock.Now())
	case isStart:
		h.table.StartUnanswered(start, h.agent.clock.Now())
	default:
		h.table.CallUnanswered(d.id, h.agent.clock.Now())
	}
}

// sendOrder sends one order unless it is no longer needed, and applies the target's reply. It returns the order as it was sent, and whether it was needed.
func (d *driver) sendOrder(o sched.Order, client *platform.TargetClient) (sched.Order, bool, error) {
	h := d.holder
	now := h.agent.clock.Now()
	h.mu.Lock()
	needed := h.table.StillNeeded(o)
	start, isStart := o.(sched.StartOrder)
	if needed && isStart {
		start, needed = h.table.PrepareStart(start, now)
	}
	h.mu.Unlock()
	if !needed {
		// The item of a withdrawn start waits for another target.
		h.wakeLoop()
		return o, false, nil
	}
	if isStart {
		o = start
	}
	var reply work.OrderReply
	var err error
	switch o := o.(type) {
	case sched.StartOrder:
		reply, err = d.startRun(start, client)
		h.agent.meters.starts.Inc(1)
	case sched.StopOrder:
		reply, _, err = d.hedge(func() (work.OrderReply, error) { return client.StopRun(o.Item, o.Run, h.epoch, orderTimeout) })
		h.agent.meters.stops.Inc(1)
	case sched.PaceOrder:
		// A pace is not repeated, because an earlier one that arrives late would undo a later one.
		reply, err = client.Throttle(o.Item, o.Run, o.Percent, h.epoch, orderTimeout)
	}
	if err != nil {
		return o, true, err
	}
	d.applyReply("answer to an order", func() {
		now = h.agent.clock.Now()
		switch o := o.(type) {
		case sched.StartOrder:
			if reply.Status == work.OrderWrongTarget && d.isReplaced() {
				// The target has not received the start, which goes to its present address.
				h.drivers[d.id].enqueue(o)
				return
			}
			h.table.StartAnswered(o, reply, now)
		case sched.StopOrder:
			h.table.StopAnswered(o, reply, now)
		}
	})
	// A refused start puts its item back into the queue, and a fenced order ends the epoch; the loop should act on both without waiting for its next tick.
	if reply.Status != work.OrderDone {
		h.wakeLoop()
	}
	return o, true, nil
}
