package agent

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/elect"
	"lavenderwing.example/lavenderwing/mesh"
)

// TestSubmissionIsNotSentToALostStore guards against submissions of which it is unknown whether they are stored: while calls to the store fail, an append that is reset may or may not have been written, and its caller must not try again. Without an append it can be told truly that the job is not stored.
func TestSubmissionIsNotSentToALostStore(t *testing.T) {
	is := is.New(t)
	a, _ := newTestAgent(t)
	a.storeAnsweredAt.Store(1)
	a.recordStoreFailure("read of the operators' topic", errors.New("reset"))
	r := &callerRequest{request: mesh.Request{Kind: mesh.Submit, ID: "1"}}
	reply := a.storeDirect(r, false)
	is.Equal(reply.Outcome, mesh.NotDone)
	is.True(reply.RetryMs >= retryAfterMs)
	is.Equal(a.storeDirect(r, true).Outcome, mesh.Undecided) // the holder may have stored it
}

// TestSubmissionIsNotSentToAHolderThatCannotWrite guards against submissions that get lost on their way to a holder that would only refuse them, after which it is unknown whether they are stored.
func TestSubmissionIsNotSentToAHolderThatCannotWrite(t *testing.T) {
	is := is.New(t)
	a, _ := newTestAgent(t)
	const epoch = 3
	a.detector.Follow(elect.Holder{Claim: elect.Claim{Address: "127.0.0.1:1"}, Epoch: epoch}, a.clock.Now()+time.Minute)
	a.detector.RecordHeartbeat(epoch, true, a.clock.Now()+time.Minute)
	reply, received := a.askHolderOnce(&callerRequest{request: mesh.Request{Kind: mesh.Submit, ID: "1"}, timeout: time.Second})
	is.Equal(reply.Outcome, mesh.NotHolder)
	is.True(!received)
}
