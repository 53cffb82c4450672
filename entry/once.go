package entry

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/claim"
	"lavenderwing.example/lavenderwing/record"
)

// unclaimWait bounds how long a refusal waits for the return of its claim.
const unclaimWait = 500 * time.Millisecond

// claim makes this process the only one that may send the request, and returns the error that tells why it may not.
func (n *Node) claim(r *request) error {
	now := n.clock.Now()
	if err := n.claims.Check(r.uuid, now); err != nil {
		return err
	}
	wait := min(r.queue.MaxWait(), r.deadline.Sub(now))
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	err := n.claimWriter.SubmitAndWait(ctx, record.Claim{Request: r.uuid})
	if errors.Is(err, context.DeadlineExceeded) {
		// The claim may still take effect; nothing was sent, and giving it back lets a repeat run.
		n.submitUnclaim(r)
	}
	return err
}

func claimRefusal(err error) *refusal {
	var taken *claim.AlreadyClaimedError
	if errors.As(err, &taken) {
		return unknown("repeated", "this Request-Id was already taken by an earlier request").withStatus(fasthttp.StatusConflict).withRetry(retryHint)
	}
	var age *claim.OutsideWindowError
	if errors.As(err, &age) {
		return unknown("requestIdTooOld", "this Request-Id was issued outside the time for which requests are remembered").withStatus(fasthttp.StatusConflict)
	}
	return notRun(fasthttp.StatusServiceUnavailable, "logUnavailable", "the claim of the request could not be made lasting in time").withRetry(retryHint)
}

// claimedHere reports whether this process still owns the claim.
func (n *Node) claimedHere(r *request) bool {
	var taken *claim.AlreadyClaimedError
	err := n.claims.Check(r.uuid, n.clock.Now())
	return errors.As(err, &taken) && taken.Winner == n.writerID
}

// unclaim returns the claim of a request that was not sent, so that its repeat may run.
func (n *Node) unclaim(r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), unclaimWait)
	defer cancel()
	// A return that comes too late only makes the repeat's outcome unknown.
	_ = n.claimWriter.SubmitAndWait(ctx, record.Unclaim{Request: r.uuid})
}

func (n *Node) submitUnclaim(r *request) {
	// A full writer only makes the repeat's outcome unknown.
	_, _ = n.claimWriter.Submit(record.Unclaim{Request: r.uuid}, func(error) {})
}
