package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/mesh"
)

// TestABreakerPausesLongerWithEachFailure checks the pauses, and that failures of calls that were under way together count once.
func TestABreakerPausesLongerWithEachFailure(t *testing.T) {
	is := is.New(t)
	b := &breaker{}
	is.Equal(b.open(time.Second), time.Duration(0))
	b.failed(time.Second)
	b.failed(time.Second)
	is.Equal(b.open(time.Second), breakFirst)
	now := time.Second + breakFirst
	is.Equal(b.open(now), time.Duration(0))
	for range 9 {
		b.failed(now)
		now += b.open(now)
	}
	b.failed(now)
	is.Equal(b.open(now), breakMost)
	b.succeeded()
	is.Equal(b.open(now), time.Duration(0))
	b.failed(now)
	is.Equal(b.open(now), breakFirst)
}

// TestASubmissionIsRefusedAtOnceWhileTheStoreFails checks that no append is tried while the breaker is open, and that the refusal is true.
func TestASubmissionIsRefusedAtOnceWhileTheStoreFails(t *testing.T) {
	is := is.New(t)
	a, _ := process(t)
	a.directBreaker.failed(a.clock.Now() + time.Hour)
	r := &request{question: mesh.Request{Kind: mesh.Submit, ID: "1"}}
	is.Equal(a.storeDirect(r, false).Outcome, mesh.NotDone)
	is.True(a.storeDirect(r, false).RetryMs >= retryMs)
	is.Equal(a.storeDirect(r, true).Outcome, mesh.Undecided) // the holder may have it
}
