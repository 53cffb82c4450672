package agent

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
)

// askTries bounds how often a question follows a change of holders.
const askTries = 4

// askPause is the pause before a question is put to the next holder, about a quarter of a takeover.
const askPause = 250 * time.Millisecond

// ask puts a question to the holder, and stores a submission past it where it does not answer.
func (a *Agent) ask(r *request) mesh.Reply {
	maybe := false
	for range askTries {
		reply, sent := a.askOnce(r)
		if reply.Outcome != mesh.NotHolder {
			return reply
		}
		maybe = maybe || sent
		if r.question.Kind == mesh.Submit {
			return a.storeDirect(r, maybe)
		}
		if a.clock.Now()-r.began+askPause > r.wait/2 {
			break
		}
		time.Sleep(askPause)
	}
	return mesh.Reply{Outcome: mesh.NotDone, RetryMs: retryMs, Cause: "no holder answers"}
}

// askOnce puts a question to the present holder and reports whether it may have got it although no answer came.
func (a *Agent) askOnce(r *request) (mesh.Reply, bool) {
	if h := a.current(); h != nil {
		return a.HandleRequest(r.question), false
	}
	a.mu.Lock()
	holder, known := a.watch.Holder()
	alive := a.watch.Alive(a.clock.Now())
	a.mu.Unlock()
	if !known || !alive || holder.Address == a.address {
		return mesh.Reply{Outcome: mesh.NotHolder}, false
	}
	wait := r.wait * 3 / 4
	if r.question.Kind != mesh.Submit {
		wait = r.wait / 2
	}
	reply, err := a.peers.Ask(holder.Address, r.question, wait)
	if err != nil {
		a.log.Warn("holder did not answer", zap.String("job", string(r.question.ID)), zap.Int64("epoch", holder.Epoch), zap.Error(err))
		return mesh.Reply{Outcome: mesh.NotHolder}, !unsent(err)
	}
	return reply, false
}

// directWait bounds an append past the holder.
const directWait = 600 * time.Millisecond

// storeDirect writes a job for the next holder to find.
func (a *Agent) storeDirect(r *request, maybe bool) mesh.Reply {
	if pause := a.directBreaker.open(a.clock.Now()); pause > 0 {
		return refuseDirect(maybe, pause)
	}
	records := []platform.Record{{Key: string(r.question.ID), Value: r.question.Job}}
	_, err := a.direct.Append(jobsTopic, directFirst+directOf(r.question.ID), records, nil, directWait)
	a.meters.storeWrites.Inc(1)
	if err == nil {
		a.directBreaker.succeeded()
		a.storeAnswered()
		return mesh.Reply{Outcome: mesh.Answered}
	}
	a.directBreaker.failed(a.clock.Now())
	a.storeFailed("job written past the holder", err)
	return notStored(maybe, err)
}

// refuseDirect is the reply to a submission that is not tried, because the last ones have failed.
func refuseDirect(maybe bool, pause time.Duration) mesh.Reply {
	if maybe {
		return mesh.Reply{Outcome: mesh.Undecided, Cause: "no holder answers, and the store fails what is written past it"}
	}
	return mesh.Reply{Outcome: mesh.NotDone, RetryMs: max(pause.Milliseconds(), retryMs), Cause: "no holder answers, and the store fails what is written past it"}
}

// notStored is the reply to a submission whose append past the holder failed: nothing is stored only if the holder cannot have got it and the store did nothing.
func notStored(maybe bool, err error) mesh.Reply {
	var rejected *platform.RejectedError
	var unsentErr *platform.UnsentError
	if !maybe && (errors.As(err, &rejected) || errors.As(err, &unsentErr)) {
		return mesh.Reply{Outcome: mesh.NotDone, RetryMs: retryMs, Cause: "neither holder nor store answers"}
	}
	return mesh.Reply{Outcome: mesh.Undecided, Cause: "store does not answer"}
}
