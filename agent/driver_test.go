package agent

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// TestLostAnswerOfAStartIsHedged guards against a target whose queued orders wait for the timeout of one lost answer: the start is repeated while it is unanswered, and the second answer counts.
func TestLostAnswerOfAStartIsHedged(t *testing.T) {
	is := is.New(t)
	address := fake.LoopbackAddresses(1)[0]
	lost := make(chan struct{})
	var attempts atomic.Int64
	startServer(t, is, address, func(ctx *fasthttp.RequestCtx) {
		if attempts.Add(1) == 1 {
			<-lost
			return
		}
		ctx.SetBodyString(`{"clock_ms":5}`)
	})
	defer close(lost)
	_, h := newTestAgent(t)
	d := newDriver(h, "i-1", address)
	reply, err := d.startRun(sched.StartOrder{Target: "i-1", Start: work.StartRequest{Run: 1, FencingToken: 1}}, d.client)
	is.NoErr(err)
	is.Equal(reply.Status, work.OrderDone)
	is.True(attempts.Load() >= 2)
	is.True(d.lossyUntil.Load() > 0) // renewals poll shortly for a while
}

// newHolderWithTarget returns a holder that knows the target i-1, which has answered its first renewal.
func newHolderWithTarget(t *testing.T, address string) *Holder {
	_, h := newTestAgent(t)
	h.table.Configure(&work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}}, Pools: []work.Pool{{Name: "p"}}})
	h.table.UpsertTarget(work.Target{ID: "i-1", Pool: "p", Address: address, Capacity: work.Resources{CPU: 1000, MemMB: 100}, StartedMs: 2}, time.Second)
	h.table.RenewalAnswered("i-1", work.RenewalReply{ClockMs: 1000, StartedMs: 2}, 0, time.Second, time.Second)
	return h
}

// targetConnections is how many connections a target takes at most.
const targetConnections = 64

// slowTarget answers the orders to a target each after a while, and keeps starts without an answer until it is closed. It counts the stops and how many of them it has had at the same time.
type slowTarget struct {
	answerTime   time.Duration
	closed       chan struct{}
	stops        atomic.Int64
	startsWaited atomic.Int64

	mu        sync.Mutex
	now, most int
}

func (s *slowTarget) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/run-start" {
		s.startsWaited.Add(1)
		<-s.closed
		return
	}
	s.mu.Lock()
	s.now++
	s.most = max(s.most, s.now)
	s.mu.Unlock()
	time.Sleep(s.answerTime)
	s.mu.Lock()
	s.now--
	s.mu.Unlock()
	s.stops.Add(1)
	ctx.SetBodyString(`{"clock_ms":5}`)
}

// TestStopsDoNotWaitForEachOther guards against runs of cancelled jobs that go on because the stops for one target are sent one after the other, each once the one before was answered, and against stops that wait for a start without an answer.
func TestStopsDoNotWaitForEachOther(t *testing.T) {
	is := is.New(t)
	target := &slowTarget{answerTime: 20 * time.Millisecond, closed: make(chan struct{})}
	defer close(target.closed)
	address := fake.LoopbackAddresses(1)[0]
	startServer(t, is, address, target.serve)
	h := newHolderWithTarget(t, address)
	h.table.Accept(&work.Job{ID: "0000000000000001", Queue: "q", Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: 1, MemMB: 1}}}}, time.Second)
	h.table.Plan(time.Second)
	b, err := h.table.Flush(time.Second)
	is.NoErr(err)
	h.table.Flushed(b)
	d := newDriver(h, "i-1", address)
	defer d.close()
	for _, o := range b.Orders {
		d.enqueue(o)
	}
	for target.startsWaited.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	const count = 400
	for n := range count {
		d.enqueue(sched.StopOrder{Target: "i-1", Item: work.ItemID{Job: "0000000000000002", Index: n}, Run: 1})
	}
	for target.stops.Load() < count {
		time.Sleep(time.Millisecond)
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	is.True(target.most > 20)                 // many at once
	is.True(target.most <= targetConnections) // but no more than the target takes, repetitions included
}

// TestBurstConnectionsAreGivenBack guards against targets that hold up the orders to others, and a process without descriptors, because a driver keeps the connections of a burst of orders: after it, and while its target does not answer.
func TestBurstConnectionsAreGivenBack(t *testing.T) {
	for name, answers := range map[string]bool{"answers": true, "silent": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var open, stops atomic.Int64
			lost := make(chan struct{})
			address := fake.LoopbackAddresses(1)[0]
			server := &fasthttp.Server{
				Handler: func(ctx *fasthttp.RequestCtx) {
					stops.Add(1)
					if !answers {
						<-lost
						return
					}
					time.Sleep(10 * time.Millisecond)
					ctx.SetBodyString(`{"clock_ms":5}`)
				},
				ConnState: func(_ net.Conn, state fasthttp.ConnState) {
					switch state {
					case fasthttp.StateNew:
						open.Add(1)
					case fasthttp.StateClosed:
						open.Add(-1)
					}
				},
			}
			l, err := net.Listen("tcp4", address)
			is.NoErr(err)
			go func() { _ = server.Serve(l) }()
			t.Cleanup(func() { _ = l.Close() })
			defer close(lost)
			h := newHolderWithTarget(t, address)
			d := newDriver(h, "i-1", address)
			defer d.close()
			const count = 200
			for n := range count {
				d.enqueue(sched.StopOrder{Target: "i-1", Item: work.ItemID{Job: "0000000000000002", Index: n}, Run: 1})
			}
			for answers && stops.Load() < count {
				time.Sleep(time.Millisecond)
			}
			for !answers && stops.Load() < 30 {
				time.Sleep(time.Millisecond)
			}
			for len(h.bursts) > 0 || (answers && open.Load() > 3) {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// TestReplyFromAFormerAddressDoesNotEndTheTarget guards against runs that are started elsewhere while they go on, because the process that has the target's former address answers a call that was meant for it.
func TestReplyFromAFormerAddressDoesNotEndTheTarget(t *testing.T) {
	is := is.New(t)
	_, h := newTestAgent(t)
	h.table.Configure(&work.Config{Version: 1, Pools: []work.Pool{{Name: "p"}}})
	h.table.UpsertTarget(work.Target{ID: "i-1", Pool: "p", Address: "new", Capacity: work.Resources{CPU: 1000, MemMB: 100}, StartedMs: 2}, 0)
	former, present := newDriver(h, "i-1", "former"), newDriver(h, "i-1", "new")
	h.drivers["i-1"] = present
	former.close()
	wrong := work.RenewalReply{Status: work.OrderWrongTarget}
	former.applyRenewal(&sched.Renewal{}, wrong, nil, 0)
	is.Equal(len(h.table.Targets()), 1) // the target is called on
	present.close()
	present.applyRenewal(&sched.Renewal{}, wrong, nil, 0)
	is.Equal(len(h.table.Targets()), 0) // its own address belongs to another one
}

// TestUnsentStartIsToldFromALostOne guards against a start that is taken for one that may still be carried out although no connection was opened, and against the contrary when one of its attempts was sent.
func TestUnsentStartIsToldFromALostOne(t *testing.T) {
	is := is.New(t)
	_, h := newTestAgent(t)
	start := sched.StartOrder{Target: "i-1", Start: work.StartRequest{Run: 1, FencingToken: 1}}
	absent := newDriver(h, "i-1", fake.LoopbackAddresses(1)[0])
	_, err := absent.startRun(start, absent.client)
	is.True(isUnsent(err)) // no process listens there
	silent := fake.LoopbackAddresses(1)[0]
	lost := make(chan struct{})
	startServer(t, is, silent, func(*fasthttp.RequestCtx) { <-lost })
	defer close(lost)
	d := newDriver(h, "i-1", silent)
	_, err = d.startRun(start, d.client)
	is.True(err != nil && !isUnsent(err)) // the target may have carried it out
	attempts := &startAttempts{unsent: 2}
	is.True(attempts.maybeSent(3) && !attempts.maybeSent(2))
}

// TestRenewalThatIsNotSentExtendsNoLease guards against work that is not restarted while its target is behind a cut, because each renewal that finds no connection counts as one that may have extended the lease.
func TestRenewalThatIsNotSentExtendsNoLease(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		busy int
	}{
		"not sent":  {&platform.UnsentError{Address: "a"}, 0},
		"no answer": {&platform.NoResponseError{Address: "a"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHolderWithTarget(t, "a")
			h.table.Accept(&work.Job{ID: "0000000000000001", Queue: "q", Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: 1, MemMB: 1}}}}, time.Second)
			h.table.Plan(time.Second)
			is.Equal(h.table.CountBusyTargets(), 1)
			d := newDriver(h, "i-1", "a")
			d.close() // so that it does not pause after a renewal
			// The item's lease ends 5.3 s after it was placed, if no renewal extends it.
			r := h.table.PrepareRenewal("i-1", 4*time.Second)
			is.True(r.LeaseExpiryMs > 0)
			d.applyRenewal(&r, work.RenewalReply{}, test.err, 4*time.Second)
			h.table.ExpireLeases(7 * time.Second)
			is.Equal(h.table.CountBusyTargets(), test.busy)
		})
	}
}
