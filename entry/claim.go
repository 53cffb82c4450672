package entry

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/claim"
	"lavenderwing.example/lavenderwing/record"
)

// unclaimTimeout bounds how long a refusal waits for the release of its claim.
const unclaimTimeout = 500 * time.Millisecond

// acquireClaim makes this process the only one that may send a non-idempotent request, or returns an error that says why it may not.
func (n *Node) acquireClaim(r *request) error {
	now := n.clock.Now()
	if err := n.claims.Check(r.uuid, now); err != nil {
		return err
	}
	// A claim belongs to the process, so only one request at a time may claim an identifier: otherwise a second request that times out would release what the first one owns.
	if !n.beginClaiming(r.uuid) {
		return &claim.AlreadyClaimedError{Request: r.uuid, Winner: n.writerID}
	}
	defer n.endClaiming(r.uuid)
	// The claim of a request that ended meanwhile may have taken effect since the first check.
	if err := n.claims.Check(r.uuid, now); err != nil {
		return err
	}
	wait := min(r.queue.MaxWait(), r.deadline.Sub(now))
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	err := n.claimWriter.SubmitAndWait(ctx, record.Claim{Request: r.uuid})
	if errors.Is(err, context.DeadlineExceeded) {
		// The claim may still take effect. Nothing was sent, so the claim is released and a repeat may run.
		n.submitUnclaim(r)
	}
	return err
}

// beginClaiming reports whether no other request of this process is claiming the identifier, and marks it as being claimed.
func (n *Node) beginClaiming(id uuid.UUID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.claiming[id] {
		return false
	}
	n.claiming[id] = true
	return true
}

func (n *Node) endClaiming(id uuid.UUID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.claiming, id)
}

// claimRefusal returns the refusal of a request whose claim failed. The outcome is unknown if an earlier request with the same identifier may have run.
func claimRefusal(err error) *refusal {
	var taken *claim.AlreadyClaimedError
	if errors.As(err, &taken) {
		return unknown("repeated", "this Request-Id was already taken by an earlier request").withStatus(fasthttp.StatusConflict).withRetry(retryAfterHint)
	}
	var outside *claim.OutsideWindowError
	if errors.As(err, &outside) {
		return unknown("requestIdTooOld", "this Request-Id was issued outside the time for which requests are remembered").withStatus(fasthttp.StatusConflict)
	}
	return notRun(fasthttp.StatusServiceUnavailable, "logUnavailable", "the claim of the request could not be made lasting in time").withRetry(retryAfterHint)
}

// ownsClaim reports whether this process is known to hold the claim of a request. It returns false once the identifier is outside the claim window, because the holder of the claim is no longer remembered then.
func (n *Node) ownsClaim(r *request) bool {
	var taken *claim.AlreadyClaimedError
	err := n.claims.Check(r.uuid, n.clock.Now())
	return errors.As(err, &taken) && taken.Winner == n.writerID
}

// unclaim releases the claim of a request that was not sent, so that a repeat may run.
func (n *Node) unclaim(r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), unclaimTimeout)
	defer cancel()
	// If the release is not recorded in time, a repeat is refused with an unknown outcome instead of being run, so no request runs twice.
	_ = n.claimWriter.SubmitAndWait(ctx, record.Unclaim{Request: r.uuid})
}

// submitUnclaim releases the claim of a request without waiting for the result.
func (n *Node) submitUnclaim(r *request) {
	// If the writer is full, a repeat is refused with an unknown outcome instead of being run, so no request runs twice.
	_, _ = n.claimWriter.Submit(record.Unclaim{Request: r.uuid}, func(error) {})
}
