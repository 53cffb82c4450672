package agent

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/elect"
	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

func never(error) bool { return false }

// TestLostAnswerCostsOneHedge guards against appends that wait for the timeout of each lost answer: a further attempt is made while the first one is unanswered, and its answer counts.
func TestLostAnswerCostsOneHedge(t *testing.T) {
	is := is.New(t)
	lost := make(chan struct{})
	defer close(lost)
	calls := make(chan int, 1)
	calls <- 0
	value, made, err := hedged(context.Background(), 0, func() (int, error) {
		n := <-calls + 1
		calls <- n
		if n == 1 {
			<-lost
		}
		return n, nil
	}, never)
	is.NoErr(err)
	is.True(made >= 2)
	is.True(value >= 2) // not the first attempt's answer
}

// TestFailedCallIsNotHedged guards against calls that multiply while the store is down: an attempt that has failed is left to the caller's retries.
func TestFailedCallIsNotHedged(t *testing.T) {
	is := is.New(t)
	down := errors.New("down")
	_, made, err := hedged(context.Background(), 0, func() (int, error) { return 0, down }, never)
	is.Equal(err, down)
	is.Equal(made, 1)
}

// TestDecisiveErrorEndsHedging guards against a holder that goes on after the store has told it that it was replaced, because an earlier attempt is still unanswered.
func TestDecisiveErrorEndsHedging(t *testing.T) {
	is := is.New(t)
	lost := make(chan struct{})
	defer close(lost)
	first := make(chan struct{}, 1)
	first <- struct{}{}
	_, _, err := hedged(context.Background(), 0, func() (int, error) {
		select {
		case <-first:
			<-lost
			return 0, nil
		default:
			return 0, &platform.FencedError{}
		}
	}, isDecisive)
	var fenced *platform.FencedError
	is.True(errors.As(err, &fenced))
}

// TestClaimWithLostAnswerIsFound guards against a takeover that waits for the timeout of a claim that the store has written: the process finds its claim while the append is unanswered.
func TestClaimWithLostAnswerIsFound(t *testing.T) {
	is := is.New(t)
	address := fake.LoopbackAddresses(1)[0]
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{Address: address}})
	is.NoErr(err)
	claim, err := work.Encode(elect.Claim{Node: "n", Address: a.address, Boot: a.boot})
	is.NoErr(err)
	lost := make(chan struct{})
	startServer(t, is, address, func(ctx *fasthttp.RequestCtx) {
		if ctx.IsPost() {
			<-lost
			return
		}
		ctx.SetBodyString(newestPage(platform.Record{Key: leadKey, Value: claim, Offset: 7}))
	})
	defer close(lost)
	offset, err := a.appendClaim(claim, 7)
	is.NoErr(err)
	is.Equal(offset, int64(7))
}
