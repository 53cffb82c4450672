package outbox

import (
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

const (
	// sendTime is the time within which the queued stops should all have been sent. More of them are sent at once for that, the more there are and the longer the target takes for each.
	sendTime = 100 * time.Millisecond
	// MaxExtra bounds the stops to one target that are sent at once beside the first one. With their repetitions and the renewals of the lease they stay below the 64 connections that a target takes.
	MaxExtra = 40
	// retryPause is the pause after an order without a valid reply, before it is sent again.
	retryPause = 150 * time.Millisecond
	// silentAfter is how many orders in a row get no valid reply until only the first of each class is sent at a time: the target does not answer, and more calls would only cost.
	silentAfter = 8
	// callTimeWeight is the weight of the newest call in the moving average of their durations.
	callTimeWeight = 0.2
)

// class is a kind of orders that waits for no other kind.
type class int

const (
	stops class = iota
	others
	classes
)

func classOf(o sched.Order) class {
	if _, ok := o.(sched.StopOrder); ok {
		return stops
	}
	return others
}

// entry is an order that waits to be sent, from notBefore on.
type entry struct {
	order     sched.Order
	queuedAt  time.Duration
	notBefore time.Duration
}

// Queue holds the orders for one target. Stops and other orders do not wait for each other, and the more stops wait, the more are sent at once; the others are sent one after the other, because starts at once cost a busy holder more than they gain. Of the orders for one item only one is under way at a time, and its stops go first. A Queue is not safe for concurrent use.
type Queue struct {
	queued [classes][]entry
	// stopsKnown holds the stops that wait or are under way; stopsOf and startsOf count the waiting ones of each item.
	stopsKnown map[sched.StopOrder]bool
	stopsOf    map[work.ItemID]int
	startsOf   map[work.ItemID]int
	// underWay holds the items of which an order is under way, and sending counts those orders.
	underWay map[work.ItemID]bool
	sending  [classes]int
	// firstBusy means that the first order of the class is under way, and extra counts the others.
	firstBusy [classes]bool
	extra     int
	// callTime is the average duration of a call, and unanswered counts the calls since the last one with a valid reply.
	callTime   time.Duration
	unanswered int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{stopsKnown: map[sched.StopOrder]bool{}, stopsOf: map[work.ItemID]int{}, startsOf: map[work.ItemID]int{}, underWay: map[work.ItemID]bool{}}
}

// Sending is an order that is under way.
type Sending struct {
	Order sched.Order
	// Extra means that it is not the first order of its class that is under way.
	Extra bool
	// Waited is how long the order has waited since it was queued or queued again.
	Waited time.Duration
}

// Push queues an order. A stop that waits or is under way already is not queued again, and takes the place of the item's waiting orders for the same and earlier runs.
func (q *Queue) Push(o sched.Order, now time.Duration) {
	if stop, ok := o.(sched.StopOrder); ok {
		if q.stopsKnown[stop] {
			return
		}
		q.dropBefore(stop)
	}
	q.add(entry{order: o, queuedAt: now})
}

// dropBefore drops the waiting orders that a stop makes needless: the target begins no run that is not higher than a stopped one.
func (q *Queue) dropBefore(stop sched.StopOrder) {
	if q.startsOf[stop.Item] == 0 {
		return
	}
	q.queued[others] = slices.DeleteFunc(q.queued[others], func(e entry) bool {
		start, ok := e.order.(sched.StartOrder)
		dropped := ok && start.Start.Item == stop.Item && start.Start.Run <= stop.Run
		if dropped {
			decrement(q.startsOf, stop.Item)
		}
		return dropped
	})
}

func (q *Queue) add(e entry) {
	switch o := e.order.(type) {
	case sched.StopOrder:
		q.stopsKnown[o] = true
		q.stopsOf[o.Item]++
	case sched.StartOrder:
		q.startsOf[o.Start.Item]++
	}
	c := classOf(e.order)
	q.queued[c] = append(q.queued[c], e)
}

func decrement(counts map[work.ItemID]int, item work.ItemID) {
	if counts[item]--; counts[item] <= 0 {
		delete(counts, item)
	}
}

// Next returns the next order to send, if one may be sent now. For a stop that is not the first one it asks grow, which may refuse.
func (q *Queue) Next(now time.Duration, grow func() bool) (Sending, bool) {
	for c := range classes {
		if q.firstBusy[c] && !q.wantsMore(c) {
			continue
		}
		n := slices.IndexFunc(q.queued[c], func(e entry) bool { return q.maySend(e, now) })
		if n < 0 || (q.firstBusy[c] && !grow()) {
			continue
		}
		return q.take(c, n, now), true
	}
	return Sending{}, false
}

// wantsMore reports whether there are so many stops that one more should be sent at once.
func (q *Queue) wantsMore(c class) bool {
	if c != stops || q.extra >= MaxExtra || q.unanswered >= silentAfter {
		return false
	}
	return time.Duration(len(q.queued[c])+q.sending[c])*q.callTime > time.Duration(q.sending[c])*sendTime
}

// maySend reports whether an order may be sent now and waits for no other order for its item.
func (q *Queue) maySend(e entry, now time.Duration) bool {
	item := sched.ItemOf(e.order)
	if now < e.notBefore || q.underWay[item] {
		return false
	}
	switch e.order.(type) {
	case sched.StartOrder:
		return q.stopsOf[item] == 0
	case sched.PaceOrder:
		return q.stopsOf[item] == 0 && q.startsOf[item] == 0
	}
	return true
}

func (q *Queue) take(c class, n int, now time.Duration) Sending {
	e := q.queued[c][n]
	q.queued[c] = slices.Delete(q.queued[c], n, n+1)
	item := sched.ItemOf(e.order)
	switch e.order.(type) {
	case sched.StopOrder:
		decrement(q.stopsOf, item)
	case sched.StartOrder:
		decrement(q.startsOf, item)
	}
	s := Sending{Order: e.order, Extra: q.firstBusy[c], Waited: now - max(e.queuedAt, e.notBefore)}
	if s.Extra {
		q.extra++
	}
	q.firstBusy[c] = true
	q.sending[c]++
	q.underWay[item] = true
	return s
}

// Answered notes that an order that took the given time has got a valid reply.
func (q *Queue) Answered(s Sending, took time.Duration) {
	q.end(s)
	q.recordCall(took)
	q.unanswered = 0
}

// Dropped notes that an order was not sent because it was no longer needed.
func (q *Queue) Dropped(s Sending) { q.end(s) }

// Unanswered notes that an order that took the given time has got no valid reply, and queues it again, as it was sent, behind the other orders.
func (q *Queue) Unanswered(s Sending, sent sched.Order, took, now time.Duration) {
	q.end(s)
	q.recordCall(took)
	q.unanswered++
	q.add(entry{order: sent, queuedAt: now, notBefore: now + retryPause})
}

// end notes that an order is no longer under way.
func (q *Queue) end(s Sending) {
	c := classOf(s.Order)
	q.sending[c]--
	if s.Extra {
		q.extra--
	} else {
		q.firstBusy[c] = false
	}
	delete(q.underWay, sched.ItemOf(s.Order))
	if stop, ok := s.Order.(sched.StopOrder); ok {
		delete(q.stopsKnown, stop)
	}
}

func (q *Queue) recordCall(took time.Duration) {
	if q.callTime == 0 {
		q.callTime = took
		return
	}
	q.callTime += time.Duration(callTimeWeight * float64(took-q.callTime))
}

// NextRetry returns when the first order that waits for its repetition may be sent, and whether there is one.
func (q *Queue) NextRetry(now time.Duration) (time.Duration, bool) {
	next, found := time.Duration(0), false
	for c := range classes {
		for _, e := range q.queued[c] {
			if e.notBefore > now && (!found || e.notBefore < next) {
				next, found = e.notBefore, true
			}
		}
	}
	return next, found
}

// Extra returns how many orders are under way beside the first of each class.
func (q *Queue) Extra() int { return q.extra }

// Len returns the number of orders that wait.
func (q *Queue) Len() int { return len(q.queued[stops]) + len(q.queued[others]) }
