package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/mesh"
)

// TestBreakerPauseDoublesWithEachFailure checks the bounds of the pauses, and that failures of concurrent calls count once.
func TestBreakerPauseDoublesWithEachFailure(t *testing.T) {
	is := is.New(t)
	b := &circuitBreaker{}
	is.Equal(b.openFor(time.Second), time.Duration(0))
	b.failed(time.Second)
	b.failed(time.Second)
	is.Equal(b.openFor(time.Second), minBreakerPause)
	now := time.Second + minBreakerPause
	is.Equal(b.openFor(now), time.Duration(0))
	for range 9 {
		b.failed(now)
		now += b.openFor(now)
	}
	b.failed(now)
	is.Equal(b.openFor(now), maxBreakerPause)
	b.succeeded()
	is.Equal(b.openFor(now), time.Duration(0))
	b.failed(now)
	is.Equal(b.openFor(now), minBreakerPause)
}

// TestSubmissionIsRefusedWhileTheBreakerIsOpen checks that no append is sent while the breaker is open, and that a submission counts as not stored only if the holder cannot have it.
func TestSubmissionIsRefusedWhileTheBreakerIsOpen(t *testing.T) {
	is := is.New(t)
	a, _ := newTestAgent(t)
	a.directBreaker.failed(a.clock.Now() + time.Hour)
	r := &callerRequest{request: mesh.Request{Kind: mesh.Submit, ID: "1"}}
	is.Equal(a.storeDirect(r, false).Outcome, mesh.NotDone)
	is.True(a.storeDirect(r, false).RetryMs >= retryAfterMs)
	is.Equal(a.storeDirect(r, true).Outcome, mesh.Undecided) // the holder may have stored it
}
