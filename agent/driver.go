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

// Timing of calls to targets.
const (
	// renewPoll is how long a renewal waits for an end; three of them fit into a lease.
	renewPoll = 1200 * time.Millisecond
	// renewHurry is how long a renewal waits while a serving item is about to be at work, a fraction of the time that its start takes.
	renewHurry = 200 * time.Millisecond
	// renewGapLeast is the least time between two renewals, in which more ends gather.
	renewGapLeast = 120 * time.Millisecond
	// orderWait bounds an order's answer, which takes a few milliseconds.
	orderWait = 400 * time.Millisecond
	// orderPause is the pause before an unanswered order is sent again.
	orderPause = 150 * time.Millisecond
	// silentPause is the pause before a silent target is renewed again.
	silentPause = 300 * time.Millisecond
	// idleLook is how long a driver sleeps while its target runs nothing.
	idleLook = 5 * time.Second
)

// driver calls one target: it renews its lease and sends it orders, each over a connection of its own.
type driver struct {
	holder  *Holder
	id      work.TargetID
	address string
	client  *platform.TargetClient
	done    chan struct{}
	once    sync.Once
	// busy wakes the renewals of an idle target.
	busy chan struct{}

	mu     sync.Mutex
	orders []sched.Order
	more   chan struct{}
}

func newDriver(h *Holder, id work.TargetID, address string) *driver {
	return &driver{
		holder: h, id: id, address: address, client: platform.NewTargetClient(id, address),
		done: make(chan struct{}), busy: make(chan struct{}, 1), more: make(chan struct{}, 1),
	}
}

func (d *driver) start() {
	go d.renewals()
	go d.send()
}

func (d *driver) close() {
	d.once.Do(func() {
		close(d.done)
		d.client.Close()
	})
}

// give queues an order.
func (d *driver) give(o sched.Order) {
	d.mu.Lock()
	d.orders = append(d.orders, o)
	d.mu.Unlock()
	signal(d.more)
	signal(d.busy)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits and reports whether the driver goes on.
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

// renewals keeps the target's lease and learns of ends.
func (d *driver) renewals() {
	for {
		h := d.holder
		now := h.agent.clock.Now()
		h.mu.Lock()
		r := h.table.Renewal(d.id, now)
		h.mu.Unlock()
		if !r.Needed {
			if !d.idle() {
				return
			}
			continue
		}
		if r.LeaseMs > 0 && !h.mayRenew() {
			h.agent.log.Warn("lease not renewed", zap.String("target", string(d.id)), zap.String("cause", "neither the store nor most processes confirm this holder"))
			if !d.pause(silentPause) {
				return
			}
			continue
		}
		poll := renewPoll
		switch {
		case r.LeaseMs == 0:
			poll = 0
		case r.ShortPoll:
			poll = renewHurry
		}
		l, err := d.client.RenewLease(r.LeaseMs, h.table.Token(), r.AcknowledgedEnd, poll, poll+orderWait)
		h.agent.meters.looks.Inc(1)
		if !d.renewed(l, err, now, r.LeaseMs == 0) {
			return
		}
	}
}

func (d *driver) renewed(l work.RenewalReply, err error, sent time.Duration, again bool) bool {
	h := d.holder
	now := h.agent.clock.Now()
	h.mu.Lock()
	if err != nil {
		h.table.CallUnanswered(d.id)
	} else {
		h.table.RenewalAnswered(d.id, l, sent, now)
	}
	h.mu.Unlock()
	h.poke()
	switch {
	case err != nil:
		return d.pause(silentPause)
	case again && l.Status == work.OrderDone:
		return true
	default:
		return d.pause(time.Duration(h.renewGap.Load()))
	}
}

// idle waits until the target is given something.
func (d *driver) idle() bool {
	timer := time.NewTimer(idleLook)
	defer timer.Stop()
	select {
	case <-d.done:
		return false
	case <-d.busy:
	case <-timer.C:
	}
	return true
}

// send sends the queued orders one after the other.
func (d *driver) send() {
	for {
		o, ok := d.next()
		if !ok {
			select {
			case <-d.done:
				return
			case <-d.more:
			}
			continue
		}
		select {
		case <-d.done:
			return
		default:
		}
		if err := d.carry(o); err != nil {
			d.failed(o, err)
			if !d.pause(orderPause) {
				return
			}
		}
	}
}

func (d *driver) next() (sched.Order, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.orders) == 0 {
		return nil, false
	}
	o := d.orders[0]
	d.orders = d.orders[1:]
	return o, true
}

// failed queues an order again that got no answer.
func (d *driver) failed(o sched.Order, err error) {
	h := d.holder
	var status *platform.UnexpectedStatusError
	if errors.As(err, &status) {
		h.agent.log.Error("target's answer cannot be understood", zap.String("target", string(d.id)), zap.Error(err))
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

// carry sends one order unless it is no longer wanted.
func (d *driver) carry(o sched.Order) error {
	h := d.holder
	now := h.agent.clock.Now()
	h.mu.Lock()
	wanted := h.table.StillNeeded(o)
	start, isStart := o.(sched.StartOrder)
	if wanted && isStart {
		start.Start.LeaseExpiryMs = h.table.LeaseFor(d.id, now)
	}
	h.mu.Unlock()
	if !wanted {
		return nil
	}
	var answer work.OrderReply
	var err error
	switch o := o.(type) {
	case sched.StartOrder:
		answer, err = d.client.StartRun(start.Start, orderWait)
		h.agent.meters.starts.Inc(1)
	case sched.StopOrder:
		answer, err = d.client.StopRun(o.Item, o.Run, h.epoch, orderWait)
	case sched.PaceOrder:
		answer, err = d.client.Throttle(o.Item, o.Run, o.Percent, h.epoch, orderWait)
	}
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now = h.agent.clock.Now()
	switch o := o.(type) {
	case sched.StartOrder:
		h.table.StartAnswered(o, answer, now)
	case sched.StopOrder:
		h.table.StopAnswered(o, answer, now)
	}
	if answer.Status != work.OrderDone {
		h.poke()
	}
	return nil
}
