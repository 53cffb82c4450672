package agent

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/platform/stage"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/stand"
	"lavenderwing.example/lavenderwing/work"
)

// process returns a process that calls nobody, and a holder in it.
func process(t *testing.T) (*Agent, *Holder) {
	t.Helper()
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, CPUShare: 1})
	if err != nil {
		t.Fatal(err)
	}
	return a, newHolder(a, 1)
}

// TestAHolderThatNobodyConfirmsDoesNotRenew checks that leases end when neither the store nor most processes confirm a holder.
func TestAHolderThatNobodyConfirmsDoesNotRenew(t *testing.T) {
	is := is.New(t)
	a, h := process(t)
	// What is fresh lies ahead, so that a slow machine does not make it old.
	now := a.clock.Now() + time.Minute
	long := a.clock.Now() - 2*sched.MaxUnconfirmedRenewal
	h.progress.confirmedAt.Store(int64(long))
	h.intake.stream.confirmedAt.Store(int64(long))
	h.confirmedAt.Store(int64(long))
	a.members[a.address] = member{heardAt: now}
	a.members["b"] = member{heardAt: now}
	a.members["c"] = member{heardAt: long}
	is.True(h.mayRenew()) // two of three follow
	a.members["b"] = member{heardAt: long}
	is.True(!h.mayRenew()) // alone
	h.confirmedAt.Store(int64(now))
	is.True(h.mayRenew()) // the store confirms
}

// TestAHolderThatCannotWriteRefusesAtOnce checks that a submission does not wait for a store that has failed for a while.
func TestAHolderThatCannotWriteRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	a, h := process(t)
	h.progress.failingSince.Store(int64(a.clock.Now() - 2*troubledAfter))
	reply := h.submit(mesh.Request{Kind: mesh.Submit, ID: "1"})
	is.Equal(reply.Outcome, mesh.NotDone)
	is.Equal(reply.Cause, "holder cannot write to the store")
}

// TestARefusalIsTrue checks that a submission counts as not stored only if neither the holder nor the store can have it.
func TestARefusalIsTrue(t *testing.T) {
	is := is.New(t)
	rejected, unsent, unanswered := &platform.RejectedError{Status: 503}, &platform.UnsentError{}, &platform.NoResponseError{}
	is.Equal(notStored(false, rejected).Outcome, mesh.NotDone)
	is.Equal(notStored(false, unsent).Outcome, mesh.NotDone)
	is.Equal(notStored(false, unanswered).Outcome, mesh.Undecided)
	is.Equal(notStored(true, rejected).Outcome, mesh.Undecided) // the holder may have stored it
}

// TestAStoppingProcessNeitherHoldsNorTakesRequests checks both, and that a process without a configuration does neither.
func TestAStoppingProcessNeitherHoldsNorTakesRequests(t *testing.T) {
	is := is.New(t)
	a, _ := process(t)
	a.storeAt.Store(int64(a.clock.Now() + time.Minute))
	is.True(!a.mayHold())
	is.True(!a.isReady())
	a.config.Store(&configState{config: &work.Config{Version: 1}})
	is.True(a.mayHold())
	is.True(a.isReady())
	a.stopping.Store(true)
	is.True(!a.mayHold())
	is.True(!a.isReady())
}

// TestAProcessEndsOnlyWhenTheBalancerKnows checks how long a stopping process serves on.
func TestAProcessEndsOnlyWhenTheBalancerKnows(t *testing.T) {
	is := is.New(t)
	grace := 6 * time.Second
	is.True(!mayEnd(0, 0, grace))                        // callers still come
	is.True(!mayEnd(0, stopLinger-1, grace))             // the balancer may have missed one look
	is.True(mayEnd(0, stopLinger, grace))                // nothing is under way
	is.True(!mayEnd(1, stopLinger, grace))               // a request is
	is.True(mayEnd(1, 6*time.Second*3/4, 6*time.Second)) // before it is killed
}

// TestAnOrderWhoseRecordIsOldIsNotSent checks that a holder that was held up sends no order for a host after its successor's.
func TestAnOrderWhoseRecordIsOldIsNotSent(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) { calls.Add(1) }}
	l, err := listenTCP(stand.LoopbackAddresses(1)[0])
	is.NoErr(err)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Shutdown() }()
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Cloud: work.CloudLimits{Address: l.Addr().String()}})
	is.NoErr(err)
	h := newHolder(a, 1)
	order := sched.HostOrder{Host: "m1", Pool: "p"}
	h.orderHost(order, a.clock.Now()-2*orderFresh)
	is.Equal(calls.Load(), int64(0)) // too old
	fresh := a.clock.Now() + time.Minute
	h.orderHost(order, fresh)
	is.Equal(calls.Load(), int64(1))
	h.depose("another process holds")
	h.orderHost(order, fresh)
	is.Equal(calls.Load(), int64(1)) // deposed
}

// TestASuccessorFencesBeforeItReads checks that nothing of an earlier holder is stored after its successor has read the records.
func TestASuccessorFencesBeforeItReads(t *testing.T) {
	is := is.New(t)
	store, err := stage.NewStore(stand.LoopbackAddresses(1)[0])
	is.NoErr(err)
	defer store.Close()
	settings := work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{Address: store.Address}}
	a, err := New(settings)
	is.NoErr(err)
	earlier, successor := newHolder(a, 1), newHolder(a, 2)
	is.NoErr(earlier.recover())
	is.NoErr(successor.recover())
	for _, s := range []*stream{earlier.progress, earlier.intake.stream} {
		_, err := s.append(earlier.ctx, []platform.Record{{Key: "1", Value: []byte("late")}})
		var fenced *platform.FencedError
		is.True(errors.As(err, &fenced)) // an earlier holder's record
	}
}

// TestALostAnswerCostsLess checks how long appends wait for answers: as the store usually answers, longer with each try.
func TestALostAnswerCostsLess(t *testing.T) {
	is := is.New(t)
	s := &stream{}
	is.Equal(s.tryWait(0), appendWaitLeast)
	is.Equal(s.tryWait(1), min(2*appendWaitLeast, appendWaitMost))
	is.Equal(s.tryWait(9), appendWaitMost)
	for range 20 {
		s.answered(8 * time.Millisecond)
	}
	is.Equal(s.tryWait(0), appendWaitLeast)
	for range 20 {
		s.answered(400 * time.Millisecond) // a slow store
	}
	is.Equal(s.tryWait(0), appendWaitMost)
}

// TestAJobWrittenPastTheHolderIsNotUnknown checks that the holder reads what others have stored before it says that there is no such job.
func TestAJobWrittenPastTheHolderIsNotUnknown(t *testing.T) {
	is := is.New(t)
	store, err := stage.NewStore(stand.LoopbackAddresses(1)[0])
	is.NoErr(err)
	defer store.Close()
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{Address: store.Address}})
	is.NoErr(err)
	h := newHolder(a, 1)
	is.NoErr(h.recover())
	job := &work.Job{ID: "0000000000000001", Queue: "q", Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: 1, MemMB: 1}}}}
	value, err := work.Encode(job)
	is.NoErr(err)
	is.Equal(a.storeDirect(&request{question: mesh.Request{Kind: mesh.Submit, ID: job.ID, Job: value}}, false).Outcome, mesh.Answered)
	is.Equal(h.status(mesh.Request{Kind: mesh.Status, ID: job.ID}).Outcome, mesh.Answered)
	is.Equal(h.status(mesh.Request{Kind: mesh.Status, ID: "0000000000000002"}).Outcome, mesh.UnknownJob)
}
