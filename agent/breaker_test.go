package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/mesh"
)

// TestBreakerPauseDoublesWithEachFailure guards against a breaker that loads a failing store: the pause doubles with each failure within its bounds, and a success resets it.
// Calls that were under way together fail together, and must count as one failure.
func TestBreakerPauseDoublesWithEachFailure(t *testing.T) {
	is := is.New(t)
	b := &circuitBreaker{}
	is.Equal(b.openFor(time.Second), time.Duration(0))
	b.recordFailure(time.Second)
	b.recordFailure(time.Second)
	is.Equal(b.openFor(time.Second), minBreakerPause)
	now := time.Second + minBreakerPause
	is.Equal(b.openFor(now), time.Duration(0))
	for range 9 {
		b.recordFailure(now)
		now += b.openFor(now)
	}
	b.recordFailure(now)
	is.Equal(b.openFor(now), maxBreakerPause)
	b.recordSuccess()
	is.Equal(b.openFor(now), time.Duration(0))
	b.recordFailure(now)
	is.Equal(b.openFor(now), minBreakerPause)
}

// TestSubmissionIsRefusedWhileTheBreakerIsOpen guards against appends to a failing store, and against a wrong refusal.
// If the holder may have received the job before it went silent, the reply must not say that the job is not stored.
func TestSubmissionIsRefusedWhileTheBreakerIsOpen(t *testing.T) {
	is := is.New(t)
	a, _ := newTestAgent(t)
	a.directBreaker.recordFailure(a.clock.Now() + time.Hour)
	r := &callerRequest{request: mesh.Request{Kind: mesh.Submit, ID: "1"}}
	is.Equal(a.storeDirect(r, false).Outcome, mesh.NotDone)
	is.True(a.storeDirect(r, false).RetryMs >= retryAfterMs)
	is.Equal(a.storeDirect(r, true).Outcome, mesh.Undecided) // the holder may have stored it
}
