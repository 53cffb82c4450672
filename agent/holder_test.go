package agent

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lavenderwing.example/lavenderwing/accept"
	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/platform/stage"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// newTestAgent returns an agent that is not running, and a holder for epoch 1 that belongs to it.
func newTestAgent(t *testing.T) (*Agent, *Holder) {
	t.Helper()
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, CPUShare: 1})
	if err != nil {
		t.Fatal(err)
	}
	return a, newHolder(a, 1)
}

// TestUnconfirmedHolderDoesNotRenewLeases guards against two holders that keep leases alive at the same time.
// A holder that is cut off from the store and from most members may have been replaced, so it must stop renewing until the store or a majority of the members confirms it.
func TestUnconfirmedHolderDoesNotRenewLeases(t *testing.T) {
	is := is.New(t)
	a, h := newTestAgent(t)
	// now is a minute ahead of the clock, so that times set to it still count as recent on a slow machine.
	now := a.clock.Now() + time.Minute
	stale := a.clock.Now() - 2*sched.MaxUnconfirmedRenewal
	h.progress.confirmedAt.Store(int64(stale))
	h.intake.writer.confirmedAt.Store(int64(stale))
	h.confirmedAt.Store(int64(stale))
	a.members[a.address] = member{heardAt: now}
	a.members["b"] = member{heardAt: now}
	a.members["c"] = member{heardAt: stale}
	is.True(h.mayRenew()) // the holder and one follower are two of three members
	a.members["b"] = member{heardAt: stale}
	is.True(!h.mayRenew()) // the holder alone is one of three members
	h.confirmedAt.Store(int64(now))
	is.True(h.mayRenew()) // the store confirmed the epoch recently
}

// TestHolderThatCannotWriteRefusesSubmissions guards against callers that wait for a store that has failed for longer than maxAppendFailure: such a submission must be refused without an append.
func TestHolderThatCannotWriteRefusesSubmissions(t *testing.T) {
	is := is.New(t)
	a, h := newTestAgent(t)
	h.progress.failingSince.Store(int64(a.clock.Now() - 2*maxAppendFailure))
	reply := h.submit(mesh.Request{Kind: mesh.Submit, ID: "1"})
	is.Equal(reply.Outcome, mesh.NotDone)
	is.Equal(reply.Cause, "holder cannot write to the store")
}

// TestFailedDirectAppendIsReportedTruthfully guards against a job that runs although its caller was told that it is not stored.
// The reply is NotDone only if neither the holder nor the store can have received the job, and Undecided otherwise.
func TestFailedDirectAppendIsReportedTruthfully(t *testing.T) {
	is := is.New(t)
	rejected, notSent, unanswered := &platform.RejectedError{Status: 503}, &platform.UnsentError{}, &platform.NoResponseError{}
	is.Equal(directFailedReply(false, rejected).Outcome, mesh.NotDone)
	is.Equal(directFailedReply(false, notSent).Outcome, mesh.NotDone)
	is.Equal(directFailedReply(false, unanswered).Outcome, mesh.Undecided)
	is.Equal(directFailedReply(true, rejected).Outcome, mesh.Undecided) // the holder may have stored it
}

// TestOnlyConfiguredRunningProcessHoldsAndIsReady guards against a holder that schedules without a configuration, and against claims of and requests to a process that is about to exit.
func TestOnlyConfiguredRunningProcessHoldsAndIsReady(t *testing.T) {
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

// TestStoppingProcessServesUntilBalancerNotices guards against requests that reach a process that has exited, and against an exit after the grace period.
// The load balancer sends requests until two readiness checks have failed.
func TestStoppingProcessServesUntilBalancerNotices(t *testing.T) {
	is := is.New(t)
	grace := 6 * time.Second
	is.True(!mayExit(0, 0, grace))                        // callers still send requests
	is.True(!mayExit(0, balancerDelay-1, grace))          // the balancer may have made only one check
	is.True(mayExit(0, balancerDelay, grace))             // no request is in flight
	is.True(!mayExit(1, balancerDelay, grace))            // a request is in flight
	is.True(mayExit(1, 6*time.Second*3/4, 6*time.Second)) // the grace period is nearly over
}

// TestOutdatedHostOrderIsNotSent guards against conflicting orders for one host: a holder that was paused after it wrote an order's record could send the order after its successor has sent another one.
// Orders whose record is older than maxOrderAge, and all orders of a deposed holder, must not be sent.
func TestOutdatedHostOrderIsNotSent(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) { calls.Add(1) }}
	l, err := net.Listen("tcp4", fake.LoopbackAddresses(1)[0])
	is.NoErr(err)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Shutdown() }()
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Cloud: work.CloudLimits{Address: l.Addr().String()}})
	is.NoErr(err)
	h := newHolder(a, 1)
	order := sched.HostOrder{Host: "m1", Pool: "p"}
	h.sendHostOrder(order, a.clock.Now()-2*maxOrderAge)
	is.Equal(calls.Load(), int64(0)) // the record is older than maxOrderAge
	fresh := a.clock.Now() + time.Minute
	h.sendHostOrder(order, fresh)
	is.Equal(calls.Load(), int64(1))
	h.depose("another process became the holder")
	h.sendHostOrder(order, fresh)
	is.Equal(calls.Load(), int64(1)) // a deposed holder sends nothing more
}

// TestRecoveryFencesEarlierHolder guards against lost records: an earlier holder could append after its successor has read the partitions, and the successor would never see those records.
// After the successor's recovery, the store must reject the earlier holder's appends.
func TestRecoveryFencesEarlierHolder(t *testing.T) {
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
		is.True(errors.As(err, &fenced))
	}
}

// TestAppendTimeoutFollowsLatency guards against a lost response that delays an append for long, and against retries that overload a slow store.
// The timeout grows with the store's latency and with each attempt, within its bounds.
func TestAppendTimeoutFollowsLatency(t *testing.T) {
	is := is.New(t)
	w := &fencedWriter{}
	is.Equal(w.attemptTimeout(0), minAppendTimeout)
	is.Equal(w.attemptTimeout(1), min(2*minAppendTimeout, maxAppendTimeout))
	is.Equal(w.attemptTimeout(9), maxAppendTimeout)
	for range 20 {
		w.latency.record(8 * time.Millisecond)
	}
	is.Equal(w.attemptTimeout(0), minAppendTimeout)
	for range 20 {
		w.latency.record(400 * time.Millisecond) // a slow store
	}
	is.Equal(w.attemptTimeout(0), maxAppendTimeout)
}

// TestDirectlyStoredJobIsKnown guards against a caller that is told that its accepted job does not exist.
// Another process may store a job in a direct partition moments before the holder is asked for it, so the holder must read that partition before it reports a job as unknown.
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

// TestSuspendedRenewalsAreLoggedOnce guards against a log that fills up: a holder that was cut off with its zone wrote a line for each target and each attempt, 1,697 in four seconds.
func TestSuspendedRenewalsAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	a, h := newTestAgent(t)
	a.log = zap.New(core)
	stale := a.clock.Now() - 2*sched.MaxUnconfirmedRenewal
	for _, at := range []*atomic.Int64{&h.progress.confirmedAt, &h.intake.writer.confirmedAt, &h.confirmedAt} {
		at.Store(int64(stale))
	}
	a.members["b"] = member{heardAt: stale}
	a.members["c"] = member{heardAt: stale}
	for range 1000 {
		is.True(!h.checkMayRenew())
	}
	is.Equal(lines.Len(), 1)
	h.confirmedAt.Store(int64(a.clock.Now() + time.Minute))
	is.True(h.checkMayRenew())
	is.True(h.checkMayRenew())
	is.Equal(lines.Len(), 2) // one line for the loss and one for the return
}

// TestCancellationIsAnsweredOnceRecorded guards against a caller who is told that a job is cancelled before the store holds it: the holder dies, and its successor starts the job's items. A batch that was taken before the cancellation holds the job, but not its cancellation.
func TestCancellationIsAnsweredOnceRecorded(t *testing.T) {
	is := is.New(t)
	_, h := newTestAgent(t)
	job := &work.Job{ID: "0000000000000001", Queue: "q", Steps: []work.Step{{Count: 2, Demand: work.Resources{CPU: 1, MemMB: 1}}}}
	h.table.Configure(&work.Config{Version: 1, Pools: []work.Pool{{Name: "p"}}, Queues: []work.Queue{{Name: "q", Pool: "p", MaxAttempts: 1, SlackFactor: 1}}})
	h.table.Accept(job, time.Second)
	h.table.UpsertTarget(work.Target{ID: "i-1", Pool: "p", Address: "a", Capacity: work.Resources{CPU: 1, MemMB: 1}}, time.Second)
	h.table.RenewalAnswered("i-1", work.RenewalReply{ClockMs: 1}, 0, time.Second, time.Second)
	h.table.Plan(time.Second)
	earlier, err := h.nextBatch()
	is.NoErr(err)
	is.True(earlier != nil) // it records the start of an item

	is.True(h.table.Cancel(job.ID, time.Second))
	recorded := make(chan struct{})
	h.cancelWaiters[job.ID] = []chan struct{}{recorded}
	h.finishBatch(earlier, nil, 0)
	select {
	case <-recorded:
		t.Fatal("the cancellation is answered although no batch holds it")
	default:
	}
	later, err := h.nextBatch()
	is.NoErr(err)
	h.finishBatch(later, nil, 0)
	<-recorded
}

// TestSuccessorHasBeenRestarted guards against a rolling restart that moves the holder again and again, each time to a process that is about to be stopped: the successor is the process that started last, unless that has only just started or another one has a larger CPU share.
func TestSuccessorHasBeenRestarted(t *testing.T) {
	is := is.New(t)
	a, h := newTestAgent(t)
	a.stopping.Store(true)
	// now is a minute ahead of the clock, so that times set to it still count as recent on a slow machine.
	now := a.clock.Now() + time.Minute
	a.members["10.0.0.1:1"] = member{heardAt: now, share: 0.4, startedAt: -time.Minute}
	a.members["10.0.0.2:1"] = member{heardAt: now, share: 0.4, startedAt: -10 * time.Second}
	a.members["10.0.0.3:1"] = member{heardAt: now, share: 0.4, startedAt: -20 * time.Second}
	a.members["10.0.0.4:1"] = member{heardAt: now, share: 0.4, startedAt: now}
	is.Equal(h.successor(), "10.0.0.2:1")
	a.members["10.0.0.5:1"] = member{heardAt: now, share: 0.8, startedAt: -time.Hour}
	is.Equal(h.successor(), "10.0.0.5:1")
}

// TestStoppingProcessIsNoSuccessor guards against a planned hand-over to a process that is stopping too and cannot claim, so that the others delay their claims by its head start.
func TestStoppingProcessIsNoSuccessor(t *testing.T) {
	is := is.New(t)
	a, h := newTestAgent(t)
	a.stopping.Store(true)
	heartbeat := mesh.Heartbeat{Address: "10.0.0.1:1", Share: 0.8}
	a.HandleHeartbeat(heartbeat)
	a.HandleHeartbeat(mesh.Heartbeat{Address: "10.0.0.2:1", Share: 0.4})
	is.Equal(h.successor(), "10.0.0.1:1")
	heartbeat.Stopping = true
	a.HandleHeartbeat(heartbeat)
	is.Equal(h.successor(), "10.0.0.2:1")
}

// TestMembersThatLeftAreForgotten guards against a holder that may never renew leases without the store, because hosts that have left for good count for the majority.
func TestMembersThatLeftAreForgotten(t *testing.T) {
	is := is.New(t)
	a, h := newTestAgent(t)
	now := a.clock.Now() + time.Minute
	stale := a.clock.Now() - 2*sched.MaxUnconfirmedRenewal
	for _, at := range []*atomic.Int64{&h.progress.confirmedAt, &h.intake.writer.confirmedAt, &h.confirmedAt} {
		at.Store(int64(stale))
	}
	a.members[a.address] = member{heardAt: now}
	a.members["b"] = member{heardAt: now}
	for _, gone := range []string{"c", "d", "e"} {
		a.members[gone] = member{heardAt: stale}
	}
	a.forgetMembers(now)
	is.True(!h.mayRenew()) // they may be on the other side of a partition
	a.forgetMembers(stale + memberForgetTime)
	is.True(h.mayRenew()) // the holder and its follower are all members
}

// blockedListener fails the first attempt to accept a connection and waits for ever in the later ones.
type blockedListener struct {
	net.Listener
	failed bool
}

// Accept implements net.Listener.
func (l *blockedListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, errors.New("too many open files")
	}
	select {}
}

// TestProcessThatAcceptsNothingIsNotReady guards against callers that are sent to a process whose listener fails.
func TestProcessThatAcceptsNothingIsNotReady(t *testing.T) {
	is := is.New(t)
	a, _ := newTestAgent(t)
	a.storeAnsweredAt.Store(int64(a.clock.Now() + time.Minute))
	a.config.Store(&configState{config: &work.Config{Version: 1}})
	var ready []bool
	reported := make(chan struct{})
	a.front = accept.New(&blockedListener{}, accept.WithReport(func(error) {
		ready = append(ready, a.isReady())
		reported <- struct{}{}
	}))
	go func() { _, _ = a.front.Accept() }()
	<-reported
	<-reported
	is.Equal(ready, []bool{false, true}) // while attempts fail, and once one waits for a connection
}
