package agent

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// Timeouts and intervals of calls to targets.
const (
	// renewPoll is how long a renewal waits for a run to end; three renewals fit into a lease.
	renewPoll = 1200 * time.Millisecond
	// urgentRenewPoll is how long a renewal waits while a serving item starts, a fraction of the time that the start takes.
	urgentRenewPoll = 200 * time.Millisecond
	// minRenewInterval is the least time between two renewals, so that one reply reports the ends of several runs.
	minRenewInterval = 120 * time.Millisecond
	// orderTimeout bounds the wait for the answer to an order, which usually takes a few milliseconds.
	orderTimeout = 400 * time.Millisecond
	// orderRetryPause is the pause before an unanswered order is sent again.
	orderRetryPause = 150 * time.Millisecond
	// renewRetryPause is the pause before the lease of a silent target is renewed again.
	renewRetryPause = 300 * time.Millisecond
	// idleCheckInterval is how often the renewal of an idle target is considered.
	idleCheckInterval = 5 * time.Second
)

// driver calls one target: it renews the target's lease and sends orders, each over its own connection.
type driver struct {
	holder    *Holder
	id        work.TargetID
	address   string
	client    *platform.TargetClient
	done      chan struct{}
	closeOnce sync.Once
	// renewNow wakes renewLoop while the target is idle.
	renewNow chan struct{}

	mu           sync.Mutex
	orders       []sched.Order
	ordersQueued chan struct{}
}

func newDriver(h *Holder, id work.TargetID, address string) *driver {
	return &driver{
		holder: h, id: id, address: address, client: platform.NewTargetClient(id, address),
		done: make(chan struct{}), renewNow: make(chan struct{}, 1), ordersQueued: make(chan struct{}, 1),
	}
}

func (d *driver) start() {
	go d.renewLoop()
	go d.sendLoop()
}

func (d *driver) close() {
	d.closeOnce.Do(func() {
		close(d.done)
		d.client.Close()
	})
}

// enqueue queues an order for the target.
func (d *driver) enqueue(o sched.Order) {
	d.mu.Lock()
	d.orders = append(d.orders, o)
	d.mu.Unlock()
	signal(d.ordersQueued)
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

// renewLoop renews the target's lease; the replies report the runs that ended.
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
		if r.LeaseMs > 0 && !h.mayRenew() {
			h.agent.log.Warn("target's lease not renewed", zap.String("target", string(d.id)), zap.String("cause", "neither the store nor a majority of the members confirms this holder"))
			if !d.pause(renewRetryPause) {
				return
			}
			continue
		}
		poll := renewPoll
		switch {
		case r.LeaseMs == 0:
			poll = 0
		case r.ShortPoll:
			poll = urgentRenewPoll
		}
		reply, err := d.client.RenewLease(r.LeaseMs, h.table.Token(), r.AcknowledgedEnd, poll, poll+orderTimeout)
		h.agent.meters.renewals.Inc(1)
		if !d.renewed(reply, err, now, r.LeaseMs == 0) {
			return
		}
	}
}

// renewed applies the result of a renewal and waits before the next one; it reports whether the driver is still open.
func (d *driver) renewed(reply work.RenewalReply, err error, sent time.Duration, clockUnknown bool) bool {
	h := d.holder
	now := h.agent.clock.Now()
	h.mu.Lock()
	if err != nil {
		h.table.CallUnanswered(d.id)
	} else {
		h.table.RenewalAnswered(d.id, reply, sent, now)
	}
	h.mu.Unlock()
	h.wakeLoop()
	switch {
	case err != nil:
		return d.pause(renewRetryPause)
	case clockUnknown && reply.Status == work.OrderDone:
		return true
	default:
		return d.pause(time.Duration(h.renewInterval.Load()))
	}
}

// waitForOrder waits until an order is queued or idleCheckInterval has passed, and reports whether the driver is still open.
func (d *driver) waitForOrder() bool {
	timer := time.NewTimer(idleCheckInterval)
	defer timer.Stop()
	select {
	case <-d.done:
		return false
	case <-d.renewNow:
	case <-timer.C:
	}
	return true
}

// sendLoop sends the queued orders one after the other.
func (d *driver) sendLoop() {
	for {
		o, ok := d.nextOrder()
		if !ok {
			select {
			case <-d.done:
				return
			case <-d.ordersQueued:
			}
			continue
		}
		select {
		case <-d.done:
			return
		default:
		}
		if err := d.sendOrder(o); err != nil {
			d.orderFailed(o, err)
			if !d.pause(orderRetryPause) {
				return
			}
		}
	}
}

func (d *driver) nextOrder() (sched.Order, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.orders) == 0 {
		return nil, false
	}
	o := d.orders[0]
	d.orders = d.orders[1:]
	return o, true
}

// orderFailed queues an unanswered order again.
func (d *driver) orderFailed(o sched.Order, err error) {
	h := d.holder
	var status *platform.UnexpectedStatusError
	if errors.As(err, &status) {
		h.agent.log.Error("target sent an unexpected answer", zap.String("target", string(d.id)), zap.Error(err))
	}
	h.mu.Lock()
	if start, ok := o.(sched.StartOrder); ok {
		h.table.StartUnanswered(start, h.agent.clock.Now())
	} else {
		h.table.CallUnanswered(d.id)
	}
	h.mu.Unlock()
	d.mu.Lock()
	d.orders = append(d.orders, o)
	d.mu.Unlock()
}

// sendOrder sends one order unless it is obsolete, and applies the target's reply.
func (d *driver) sendOrder(o sched.Order) error {
	h := d.holder
	now := h.agent.clock.Now()
	h.mu.Lock()
	needed := h.table.StillNeeded(o)
	start, isStart := o.(sched.StartOrder)
	if needed && isStart {
		start.Start.LeaseExpiryMs = h.table.ExtendLease(d.id, now)
	}
	h.mu.Unlock()
	if !needed {
		return nil
	}
	var reply work.OrderReply
	var err error
	switch o := o.(type) {
	case sched.StartOrder:
		reply, err = d.client.StartRun(start.Start, orderTimeout)
		h.agent.meters.starts.Inc(1)
	case sched.StopOrder:
		reply, err = d.client.StopRun(o.Item, o.Run, h.epoch, orderTimeout)
	case sched.PaceOrder:
		reply, err = d.client.Throttle(o.Item, o.Run, o.Percent, h.epoch, orderTimeout)
	}
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now = h.agent.clock.Now()
	switch o := o.(type) {
	case sched.StartOrder:
		h.table.StartAnswered(o, reply, now)
	case sched.StopOrder:
		h.table.StopAnswered(o, reply, now)
	}
	if reply.Status != work.OrderDone {
		h.wakeLoop()
	}
	return nil
}
