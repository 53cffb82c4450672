package agent

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/platform/stage"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// newTestAgent returns an agent that is not running, and a holder in it.
func newTestAgent(t *testing.T) (*Agent, *Holder) {
	t.Helper()
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, CPUShare: 1})
	if err != nil {
		t.Fatal(err)
	}
	return a, newHolder(a, 1)
}

// TestUnconfirmedHolderDoesNotRenewLeases checks that a holder renews no leases of targets while neither the store nor a majority of the members confirms it.
func TestUnconfirmedHolderDoesNotRenewLeases(t *testing.T) {
	is := is.New(t)
	a, h := newTestAgent(t)
	// Recent times lie in the future, so that they stay recent on a slow machine.
	now := a.clock.Now() + time.Minute
	stale := a.clock.Now() - 2*sched.MaxUnconfirmedRenewal
	h.progress.confirmedAt.Store(int64(stale))
	h.intake.writer.confirmedAt.Store(int64(stale))
	h.confirmedAt.Store(int64(stale))
	a.members[a.address] = member{heardAt: now}
	a.members["b"] = member{heardAt: now}
	a.members["c"] = member{heardAt: stale}
	is.True(h.mayRenew()) // a majority of two of three
	a.members["b"] = member{heardAt: stale}
	is.True(!h.mayRenew()) // no follower
	h.confirmedAt.Store(int64(now))
	is.True(h.mayRenew()) // confirmed by the store
}

// TestHolderThatCannotWriteRefusesSubmissions checks that a submission is refused at once while appends to the store fail.
func TestHolderThatCannotWriteRefusesSubmissions(t *testing.T) {
	is := is.New(t)
	a, h := newTestAgent(t)
	h.progress.failingSince.Store(int64(a.clock.Now() - 2*maxAppendFailure))
	reply := h.submit(mesh.Request{Kind: mesh.Submit, ID: "1"})
	is.Equal(reply.Outcome, mesh.NotDone)
	is.Equal(reply.Cause, "holder cannot write to the store")
}

// TestDirectFailureReportsNotStored checks that a submission counts as not stored only if neither the holder nor the store can have it.
func TestDirectFailureReportsNotStored(t *testing.T) {
	is := is.New(t)
	rejected, notSent, unanswered := &platform.RejectedError{Status: 503}, &platform.UnsentError{}, &platform.NoResponseError{}
	is.Equal(directFailedReply(false, rejected).Outcome, mesh.NotDone)
	is.Equal(directFailedReply(false, notSent).Outcome, mesh.NotDone)
	is.Equal(directFailedReply(false, unanswered).Outcome, mesh.Undecided)
	is.Equal(directFailedReply(true, rejected).Outcome, mesh.Undecided) // the holder may have stored it
}

// TestStoppingProcessNeitherHoldsNorIsReady checks that a process may hold and is ready only with a configuration and while it is not stopping.
func TestStoppingProcessNeitherHoldsNorIsReady(t *testing.T) {
	is := is.New(t)
	a, _ := newTestAgent(t)
	a.storeAnsweredAt.Store(int64(a.clock.Now() + time.Minute))
	is.True(!a.mayHold())
	is.True(!a.isReady())
	a.config.Store(&configState{config: &work.Config{Version: 1}})
	is.True(a.mayHold())
	is.True(a.isReady())
	a.stopping.Store(true)
	is.True(!a.mayHold())
	is.True(!a.isReady())
}

// TestProcessExitsAfterTheBalancerNoticed checks how long a stopping process goes on serving.
func TestProcessExitsAfterTheBalancerNoticed(t *testing.T) {
	is := is.New(t)
	grace := 6 * time.Second
	is.True(!mayExit(0, 0, grace))                        // callers still send requests
	is.True(!mayExit(0, balancerDelay-1, grace))          // the balancer may have made only one check
	is.True(mayExit(0, balancerDelay, grace))             // no request is in flight
	is.True(!mayExit(1, balancerDelay, grace))            // a request is in flight
	is.True(mayExit(1, 6*time.Second*3/4, 6*time.Second)) // before the grace period ends
}

// TestHostOrderWithOldRecordIsNotSent checks that a holder that was paused sends no order for a host after its successor has sent one.
func TestHostOrderWithOldRecordIsNotSent(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) { calls.Add(1) }}
	l, err := listenTCP(fake.LoopbackAddresses(1)[0])
	is.NoErr(err)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Shutdown() }()
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Cloud: work.CloudLimits{Address: l.Addr().String()}})
	is.NoErr(err)
	h := newHolder(a, 1)
	order := sched.HostOrder{Host: "m1", Pool: "p"}
	h.sendHostOrder(order, a.clock.Now()-2*maxOrderAge)
	is.Equal(calls.Load(), int64(0)) // older than maxOrderAge
	fresh := a.clock.Now() + time.Minute
	h.sendHostOrder(order, fresh)
	is.Equal(calls.Load(), int64(1))
	h.depose("another process became the holder")
	h.sendHostOrder(order, fresh)
	is.Equal(calls.Load(), int64(1)) // deposed
}

// TestSuccessorFencesBeforeItReads checks that the store rejects appends of an earlier holder once its successor has read the records.
func TestSuccessorFencesBeforeItReads(t *testing.T) {
	is := is.New(t)
	store, err := stage.NewStore(fake.LoopbackAddresses(1)[0])
	is.NoErr(err)
	defer store.Close()
	settings := work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{Address: store.Address}}
	a, err := New(settings)
	is.NoErr(err)
	earlier, successor := newHolder(a, 1), newHolder(a, 2)
	is.NoErr(earlier.recover())
	is.NoErr(successor.recover())
	for _, w := range []*fencedWriter{earlier.progress, earlier.intake.writer} {
		_, err := w.append(earlier.ctx, []platform.Record{{Key: "1", Value: []byte("late")}})
		var fenced *platform.FencedError
		is.True(errors.As(err, &fenced)) // an earlier holder is fenced
	}
}

// TestAppendTimeoutFollowsLatency checks that the timeout of an append grows with the store's latency and with each attempt, within its bounds.
func TestAppendTimeoutFollowsLatency(t *testing.T) {
	is := is.New(t)
	w := &fencedWriter{}
	is.Equal(w.attemptTimeout(0), minAppendTimeout)
	is.Equal(w.attemptTimeout(1), min(2*minAppendTimeout, maxAppendTimeout))
	is.Equal(w.attemptTimeout(9), maxAppendTimeout)
	for range 20 {
		w.recordLatency(8 * time.Millisecond)
	}
	is.Equal(w.attemptTimeout(0), minAppendTimeout)
	for range 20 {
		w.recordLatency(400 * time.Millisecond) // a slow store
	}
	is.Equal(w.attemptTimeout(0), maxAppendTimeout)
}

// TestDirectlyStoredJobIsKnown checks that the holder reads jobs that other processes stored directly before it says that a job is unknown.
func TestDirectlyStoredJobIsKnown(t *testing.T) {
	is := is.New(t)
	store, err := stage.NewStore(fake.LoopbackAddresses(1)[0])
	is.NoErr(err)
	defer store.Close()
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{Address: store.Address}})
	is.NoErr(err)
	h := newHolder(a, 1)
	is.NoErr(h.recover())
	job := &work.Job{ID: "0000000000000001", Queue: "q", Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: 1, MemMB: 1}}}}
	value, err := work.Encode(job)
	is.NoErr(err)
	is.Equal(a.storeDirect(&callerRequest{request: mesh.Request{Kind: mesh.Submit, ID: job.ID, Job: value}}, false).Outcome, mesh.Answered)
	is.Equal(h.status(mesh.Request{Kind: mesh.Status, ID: job.ID}).Outcome, mesh.Answered)
	is.Equal(h.status(mesh.Request{Kind: mesh.Status, ID: "0000000000000002"}).Outcome, mesh.UnknownJob)
}
