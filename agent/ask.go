package agent

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
)

// maxAskAttempts bounds how often a request is sent while there is no holder that answers it.
const maxAskAttempts = 4

// askRetryPause is the pause before a request is sent again, about a quarter of the time that a takeover takes.
const askRetryPause = 250 * time.Millisecond

// askHolder sends a request to the holder and retries while no holder answers. A submission that the holder does not answer is stored directly instead.
func (a *Agent) askHolder(r *callerRequest) mesh.Reply {
	maybeReceived := false
	for range maxAskAttempts {
		reply, received := a.askHolderOnce(r)
		if reply.Outcome != mesh.NotHolder {
			return reply
		}
		maybeReceived = maybeReceived || received
		if r.request.Kind == mesh.Submit {
			return a.storeDirect(r, maybeReceived)
		}
		if a.clock.Now()-r.receivedAt+askRetryPause > r.timeout/2 {
			break
		}
		time.Sleep(askRetryPause)
	}
	return mesh.Reply{Outcome: mesh.NotDone, RetryMs: retryAfterMs, Cause: "no holder answers"}
}

// askHolderOnce sends a request to the current holder. The second result means that the holder may have received the request although it did not reply.
func (a *Agent) askHolderOnce(r *callerRequest) (mesh.Reply, bool) {
	if h := a.activeHolder(); h != nil {
		return a.HandleRequest(r.request), false
	}
	a.mu.Lock()
	holder, known := a.detector.Holder()
	alive := a.detector.Alive(a.clock.Now())
	// A holder that cannot write refuses submissions, and one that gets lost on its way there could not be repeated.
	refuses := r.request.Kind == mesh.Submit && a.detector.HolderCannotWrite()
	a.mu.Unlock()
	if !known || !alive || refuses || holder.Address == a.address {
		return mesh.Reply{Outcome: mesh.NotHolder}, false
	}
	wait := r.timeout * 3 / 4
	if r.request.Kind != mesh.Submit {
		wait = r.timeout / 2
	}
	reply, err := a.peers.Ask(holder.Address, r.request, wait)
	if err != nil {
		a.log.Warn("holder did not answer", zap.String("job", string(r.request.ID)), zap.Int64("epoch", holder.Epoch), zap.Error(err))
		return mesh.Reply{Outcome: mesh.NotHolder}, !unsent(err)
	}
	return reply, false
}

// directAppendTimeout bounds the append that stores a job without the holder.
const directAppendTimeout = 600 * time.Millisecond

// storeDirect stores a job without the holder; the current or the next holder reads it from the store. maybeReceived means that a holder may have received the job and stored it too.
func (a *Agent) storeDirect(r *callerRequest, maybeReceived bool) mesh.Reply {
	if a.storeLost() {
		// An append that fails now may still be written, and its caller could not be told whether to try again.
		return unstoredReply(maybeReceived, retryAfterMs, "neither holder nor store answers")
	}
	if pause := a.directBreaker.openFor(a.clock.Now()); pause > 0 {
		return unstoredReply(maybeReceived, max(pause.Milliseconds(), retryAfterMs), "no holder answers, and the store fails what is written past it")
	}
	records := []platform.Record{{Key: string(r.request.ID), Value: r.request.Job}}
	_, err := a.directStore.Append(jobsTopic, directFirstPartition+directIndex(r.request.ID), records, nil, directAppendTimeout)
	a.meters.storeWrites.Inc(1)
	if err == nil {
		a.directBreaker.recordSuccess()
		a.recordStoreAnswer()
		return mesh.Reply{Outcome: mesh.Answered}
	}
	a.directBreaker.recordFailure(a.clock.Now())
	a.recordStoreFailure("append of a job without the holder", err)
	return directFailedReply(maybeReceived, err)
}

// unstoredReply is the reply to a submission that is not stored directly. If the holder may have received the job, it is not known whether the job is stored.
func unstoredReply(maybeReceived bool, retryMs int64, cause string) mesh.Reply {
	if maybeReceived {
		return mesh.Reply{Outcome: mesh.Undecided, Cause: cause}
	}
	return mesh.Reply{Outcome: mesh.NotDone, RetryMs: retryMs, Cause: cause}
}

// directFailedReply is the reply to a submission whose direct append failed. It says that the job is not stored (NotDone) only if neither the holder nor the store can have received the job, and otherwise that this is not known (Undecided).
func directFailedReply(maybeReceived bool, err error) mesh.Reply {
	var rejected *platform.RejectedError
	var notSent *platform.UnsentError
	if !maybeReceived && (errors.As(err, &rejected) || errors.As(err, &notSent)) {
		return mesh.Reply{Outcome: mesh.NotDone, RetryMs: retryAfterMs, Cause: "neither holder nor store answers"}
	}
	return mesh.Reply{Outcome: mesh.Undecided, Cause: "store does not answer"}
}
