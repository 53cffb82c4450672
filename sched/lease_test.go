package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

const (
	// leaseTestTick is the resolution of the tests of leases.
	leaseTestTick = 10 * time.Millisecond
	// leaseTestCutAt is when the target's answers stop.
	leaseTestCutAt = 10 * time.Second
	// maxCutRestart is how long after the beginning of a cut lost work is requeued at the latest: the longest renewal, maxUnansweredExtension, a lease and its margins.
	maxCutRestart = 8 * time.Second
)

// cutCall is what becomes of a call into a cut.
type cutCall int

const (
	// cutArrives calls are carried out and their answers lost, cutLost ones may have been, cutUnsent ones certainly were not, cutUnhealthy ones are refused, and cutMixed ones are each of these by turns.
	cutArrives cutCall = iota
	cutLost
	cutUnsent
	cutUnhealthy
	cutMixed
	cutKinds
)

func (c cutCall) String() string {
	return [...]string{"arrives", "lost", "unsent", "unhealthy", "mixed"}[c]
}

// cutScene is a table with one target that runs an item, and a driver that renews its lease.
type cutScene struct {
	table *Table
	now   time.Duration
	rate  float64
	// arrivedMs is the latest end of a lease, on the target's clock, that a call which may have arrived carried.
	arrivedMs int64
	calls     int
}

func (s *cutScene) clock() int64 { return int64(float64(s.now.Milliseconds()) * s.rate) }

func newCutScene(rate float64) *cutScene {
	s := &cutScene{table: New(testBounds()), now: leaseTestTick, rate: rate}
	s.table.Configure(&work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}}})
	s.table.UpsertTarget(work.Target{ID: "a", Pool: "p", Address: "a", Capacity: work.Resources{CPU: 1000, MemMB: 1000}}, s.now)
	s.table.RenewalAnswered("a", work.RenewalReply{ClockMs: s.clock()}, 0, s.now, s.now)
	s.table.Accept(&work.Job{ID: "0000000000000001", Queue: "q", Steps: []work.Step{{Count: 1, Serving: true, Demand: work.Resources{CPU: 1, MemMB: 1}}}}, s.now)
	s.table.Plan(s.now)
	b, err := s.table.Flush(s.now)
	if err != nil {
		panic(err)
	}
	start, _ := s.table.PrepareStart(b.Orders[0].(StartOrder), s.now)
	s.arrivedMs = start.Start.LeaseExpiryMs
	s.table.StartAnswered(start, work.OrderReply{ClockMs: s.clock()}, s.now)
	return s
}

// pass lets time pass, and returns false once the item has been requeued.
func (s *cutScene) pass(d time.Duration) bool {
	for end := s.now + d; s.now < end; {
		s.now += leaseTestTick
		s.table.ExpireLeases(s.now)
		if len(s.table.targets["a"].runs) == 0 {
			return false
		}
	}
	return true
}

// renew makes one renewal, and returns false once the item has been requeued.
func (s *cutScene) renew(answered bool, kind cutCall) bool {
	s.calls++
	if kind == cutMixed {
		kind = cutCall(s.calls % int(cutMixed))
	}
	r := s.table.PrepareRenewal("a", s.now)
	sent := s.now
	if answered || kind != cutUnsent {
		s.arrivedMs = max(s.arrivedMs, r.LeaseExpiryMs)
	}
	if answered {
		s.table.LeaseGranted("a", r.Lease)
		running := []work.ActiveRun{{Item: work.ItemID{Job: "0000000000000001"}, Run: 1, Percent: 100}}
		s.table.RenewalAnswered("a", work.RenewalReply{ClockMs: s.clock(), Running: running}, 0, sent, s.now)
		return s.pass(150 * time.Millisecond)
	}
	switch kind {
	case cutUnsent:
		s.table.LeaseUnsent("a", r.Lease)
		s.table.CallUnanswered("a", s.now)
	case cutUnhealthy:
		s.table.LeaseUnanswered("a", r.Lease)
		s.table.RenewalAnswered("a", work.RenewalReply{Status: work.OrderUnhealthy}, 0, sent, s.now)
	default:
		wait := 400 * time.Millisecond
		if !r.Unreachable {
			wait += 1200 * time.Millisecond
		}
		if !s.pass(wait) {
			return false
		}
		s.table.LeaseUnanswered("a", r.Lease)
		s.table.CallUnanswered("a", s.now)
	}
	return s.pass(300 * time.Millisecond)
}

// TestWorkBehindACutIsRequeued guards against work that runs nowhere as long as a cut lasts, because each call into the cut moves the time at which the lease counts as expired, and against a second run beside one that a call into the cut has kept alive.
func TestWorkBehindACutIsRequeued(t *testing.T) {
	for kind := range cutKinds {
		for _, rate := range []float64{minClockRate, 0.99, 1} {
			for _, length := range []time.Duration{6 * time.Second, 9 * time.Second, 20 * time.Second, 300 * time.Second} {
				t.Run(fmt.Sprint(kind, rate, length), func(t *testing.T) {
					is := is.New(t)
					s := newCutScene(rate)
					for s.now < leaseTestCutAt {
						is.True(s.renew(true, kind)) // nothing is lost before the cut
					}
					tgt := s.table.targets["a"]
					answeredAt, answeredMs := tgt.clockAt, tgt.clockMs
					for s.now < leaseTestCutAt+length && len(tgt.runs) > 0 {
						s.renew(false, kind)
					}
					if len(tgt.runs) > 0 {
						is.True(length < maxCutRestart) // the cut was too short
						return
					}
					is.True(s.clock() > s.arrivedMs) // the run has ended
					is.True(s.now-leaseTestCutAt <= maxCutRestart)
					certain := answeredAt + time.Duration(float64(s.arrivedMs-answeredMs)/minClockRate)*time.Millisecond + leaseMargin
					// The lease may have been granted by the reading of the clock before the last one, which allows for 2% of the time between them.
					is.True(s.now-certain <= 2*leaseTestTick) // no later than is known of the lease
				})
			}
		}
	}
}

// TestWorkBehindAShortCutRunsOn guards against work that is lost to a cut, or to lost answers, which its lease outlasts, and against a lease that is not extended again afterwards.
func TestWorkBehindAShortCutRunsOn(t *testing.T) {
	for kind := range cutKinds {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			s := newCutScene(minClockRate)
			for range 20 {
				for range 10 {
					is.True(s.renew(true, kind))
				}
				for end := s.now + 3*time.Second; s.now < end; {
					is.True(s.renew(false, kind))
				}
				is.True(s.renew(true, kind)) // shows that the target is there
				is.True(s.renew(true, kind))
				is.True(s.arrivedMs >= s.clock()+4500) // the lease is extended at once
			}
		})
	}
}

// TestRenewalAfterAWholeLeaseCarriesNone guards against a target that refuses a lease which has expired, so that the holder learns nothing from it after a long cut.
func TestRenewalAfterAWholeLeaseCarriesNone(t *testing.T) {
	is := is.New(t)
	s := newCutScene(1)
	s.renew(true, cutLost)
	s.table.CallUnanswered("a", s.now)
	s.now += time.Second
	r := s.table.PrepareRenewal("a", s.now)
	is.True(r.LeaseExpiryMs > s.clock() && r.Unconfirmed)
	s.now += 6 * time.Second
	r = s.table.PrepareRenewal("a", s.now)
	is.Equal(r.LeaseExpiryMs, int64(0))
	is.True(r.Needed && r.Unconfirmed && !r.ClockUnknown)
}

// TestUnsentStartGrantsNothing guards against a start that could not be sent and moves the time at which the lease counts as expired, or counts as one that may still be delivered.
func TestUnsentStartGrantsNothing(t *testing.T) {
	is := is.New(t)
	s := newCutScene(1)
	tgt := s.table.targets["a"]
	s.table.Accept(&work.Job{ID: "0000000000000002", Queue: "q", Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: 1, MemMB: 1}}}}, s.now)
	s.table.Plan(s.now)
	b, err := s.table.Flush(s.now)
	is.NoErr(err)
	end := tgt.leaseEnd()
	s.now += 500 * time.Millisecond
	for range 5 {
		start, needed := s.table.PrepareStart(b.Orders[0].(StartOrder), s.now)
		is.True(needed)
		is.True(tgt.leaseEnd() > end)
		s.table.StartUnsent(start, s.now)
		is.Equal(tgt.leaseEnd(), end)
		s.now += 100 * time.Millisecond
	}
	is.True(!tgt.mayReceiveDelayedStarts(s.now))
	is.True(!s.table.findItem(work.ItemID{Job: "0000000000000002"}).sent)
	// An attempt before may have been sent.
	start, _ := s.table.PrepareStart(b.Orders[0].(StartOrder), s.now)
	s.table.StartUnanswered(start, s.now)
	is.True(tgt.leaseEnd() > end)
	start, _ = s.table.PrepareStart(start, s.now)
	s.table.StartUnsent(start, s.now)
	is.True(tgt.mayReceiveDelayedStarts(s.now))
	is.True(s.table.findItem(work.ItemID{Job: "0000000000000002"}).sent)
}
