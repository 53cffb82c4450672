package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// process returns a process that calls nobody, and a holder in it.
func process(t *testing.T) (*Agent, *Holder) {
	t.Helper()
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", Ports: [2]int{1, 2}, CPUShare: 1})
	if err != nil {
		t.Fatal(err)
	}
	return a, newHolder(a, 1)
}

// TestAHolderThatNobodyConfirmsDoesNotRenew checks that leases end when neither the store nor most processes confirm a holder.
func TestAHolderThatNobodyConfirmsDoesNotRenew(t *testing.T) {
	is := is.New(t)
	a, h := process(t)
	now := a.clock.Now()
	long := now - 2*sched.Unconfirmed
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
	reply := h.submit(mesh.Question{Kind: mesh.Submit, ID: "1"})
	is.Equal(reply.Outcome, mesh.NotDone)
	is.Equal(reply.Cause, "holder cannot write to the store")
}

// TestARefusalIsTrue checks that a submission counts as not stored only if neither the holder nor the store can have it.
func TestARefusalIsTrue(t *testing.T) {
	is := is.New(t)
	rejected, unsent, unanswered := &platform.RejectedError{Status: 503}, &platform.UnsentError{}, &platform.UnansweredError{}
	is.Equal(notStored(false, rejected).Outcome, mesh.NotDone)
	is.Equal(notStored(false, unsent).Outcome, mesh.NotDone)
	is.Equal(notStored(false, unanswered).Outcome, mesh.Undecided)
	is.Equal(notStored(true, rejected).Outcome, mesh.Undecided) // the holder may have stored it
}

// TestAStoppingProcessNeitherHoldsNorTakesRequests checks both, and that a process without a configuration does neither.
func TestAStoppingProcessNeitherHoldsNorTakesRequests(t *testing.T) {
	is := is.New(t)
	a, _ := process(t)
	a.storeAt.Store(int64(a.clock.Now() + time.Second))
	is.True(!a.mayHold())
	is.True(!a.isReady())
	a.config.Store(&configState{config: &work.Config{Version: 1}})
	is.True(a.mayHold())
	is.True(a.isReady())
	a.stopping.Store(true)
	is.True(!a.mayHold())
	is.True(!a.isReady())
}
