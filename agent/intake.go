package agent

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// submitTimeout bounds the wait for a job or a cancellation to be stored. It is below defaultCallerTimeout, so that the caller still receives the reply.
const submitTimeout = 2 * time.Second

// retryAfterMs is how long a caller should wait before it retries after the store or the holder was unavailable, in milliseconds. A takeover is usually over by then.
const retryAfterMs = 1000

// submission is a job that waits to be stored; outcome receives the result.
type submission struct {
	job     *work.Job
	value   []byte
	outcome chan mesh.Outcome
}

// removal holds the keys of records that wait to be removed; done receives the result.
type removal struct {
	keys []string
	done chan error
}

// intake stores the jobs that callers submit to the holder, many in one append.
type intake struct {
	holder *Holder
	writer *fencedWriter
	// wake receives a signal when submissions are pending.
	wake chan struct{}

	mu      sync.Mutex
	pending []*submission
	// removals wait to be written with the next submissions.
	removals []*removal
	// closed is set when the epoch ends; later submissions are rejected.
	closed bool
}

func newIntake(h *Holder, w *fencedWriter) *intake {
	return &intake{holder: h, writer: w, wake: make(chan struct{}, 1)}
}

// submit queues a job for the next append and waits for the outcome.
func (i *intake) submit(job *work.Job, value []byte) mesh.Reply {
	s := &submission{job: job, value: value, outcome: make(chan mesh.Outcome, 1)}
	if !i.enqueue(s) {
		return mesh.Reply{Outcome: mesh.NotHolder}
	}
	timer := time.NewTimer(submitTimeout)
	defer timer.Stop()
	select {
	case o := <-s.outcome:
		if o == mesh.TooLarge {
			return mesh.Reply{Outcome: o, Cause: "the store refuses the job's record"}
		}
		return mesh.Reply{Outcome: o, RetryMs: retryAfterMs}
	case <-timer.C:
		if i.withdraw(s) {
			// No append contains the job, so it is certainly not stored.
			return mesh.Reply{Outcome: mesh.NotDone, RetryMs: retryAfterMs, Cause: "store does not answer"}
		}
		// An append that contains the job is under way and may still succeed.
		return mesh.Reply{Outcome: mesh.Undecided, Cause: "store does not answer"}
	}
}

// enqueue queues a submission for the next append, and reports whether it was accepted.
func (i *intake) enqueue(s *submission) bool {
	i.mu.Lock()
	if i.closed {
		i.mu.Unlock()
		return false
	}
	i.pending = append(i.pending, s)
	i.mu.Unlock()
	signal(i.wake)
	return true
}

// withdraw removes a submission that no append contains yet, and reports whether it did.
func (i *intake) withdraw(s *submission) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n, p := range i.pending {
		if p == s {
			i.pending = append(i.pending[:n:n], i.pending[n+1:]...)
			return true
		}
	}
	return false
}

// takePending returns and clears the pending submissions and removals.
func (i *intake) takePending() ([]*submission, []*removal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	batch, removals := i.pending, i.removals
	i.pending, i.removals = nil, nil
	return batch, removals
}

// remove removes records of jobs from the holder's partition and waits until the store has done so or the epoch ends.
func (i *intake) remove(keys []string) error {
	r := &removal{keys: keys, done: make(chan error, 1)}
	i.mu.Lock()
	i.removals = append(i.removals, r)
	i.mu.Unlock()
	signal(i.wake)
	select {
	case err := <-r.done:
		return err
	case <-i.holder.ctx.Done():
		return context.Cause(i.holder.ctx)
	}
}

// run appends pending submissions until the epoch ends.
func (i *intake) run() {
	h := i.holder
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-i.wake:
		}
		batch, removals := i.takePending()
		if len(batch) == 0 && len(removals) == 0 {
			continue
		}
		records := make([]platform.Record, len(batch))
		for n, s := range batch {
			records[n] = platform.Record{Key: string(s.job.ID), Value: s.value}
		}
		for _, r := range removals {
			for _, key := range r.keys {
				records = append(records, platform.Record{Key: key})
			}
		}
		_, err := i.writer.append(h.ctx, records)
		refused, ok := refusedKeys(err)
		if !ok {
			h.agent.log.Warn("append of jobs failed", zap.Int("jobs", len(batch)), zap.Error(err))
			// The store may have written the records in an attempt whose response was lost, so it is not certain whether the jobs are stored.
			for _, s := range batch {
				s.outcome <- mesh.Undecided
			}
			h.cancel(err)
			return
		}
		i.finish(batch, removals, refused)
		h.wakeLoop()
	}
}

// finish accepts the jobs that the store holds now, answers their submissions, and ends the removals. The records with the refused keys are not written.
func (i *intake) finish(batch []*submission, removals []*removal, refused []string) {
	h := i.holder
	for _, r := range removals {
		if slices.ContainsFunc(r.keys, func(key string) bool { return slices.Contains(refused, key) }) {
			r.done <- &RefusedRecordsError{Keys: refused}
			continue
		}
		r.done <- nil
	}
	now := h.agent.clock.Now()
	outcomes := make([]mesh.Outcome, len(batch))
	h.mu.Lock()
	for n, s := range batch {
		outcomes[n] = mesh.Answered
		if slices.Contains(refused, string(s.job.ID)) {
			outcomes[n] = mesh.TooLarge
			continue
		}
		h.accept(s.job, now)
	}
	h.mu.Unlock()
	for n, s := range batch {
		s.outcome <- outcomes[n]
	}
}

// accept adds a job that the store holds to the table and reports whether it is new. One that this program cannot handle is set aside. The caller holds the lock.
func (h *Holder) accept(job *work.Job, now time.Duration) bool {
	added := false
	h.handleJob(job, now, func() { added = h.table.Accept(job, now) })
	return added
}

// handleJob runs f for a job, and sets the job aside if this program cannot handle it; the caller holds the lock.
func (h *Holder) handleJob(job *work.Job, now time.Duration, f func()) {
	if err := h.agent.guard("job "+string(job.ID), f); err != nil {
		h.table.SetAsideJob(job, err.Error(), now)
	}
}

// close rejects all later submissions and the pending ones that no append contains yet.
func (i *intake) close() {
	i.mu.Lock()
	i.closed = true
	batch := i.pending
	i.pending = nil
	i.mu.Unlock()
	for _, s := range batch {
		s.outcome <- mesh.NotHolder
	}
}

// handleRequest carries out a caller's request: it submits, reports on or cancels a job, or counts the pending jobs of a queue.
func (h *Holder) handleRequest(request mesh.Request) mesh.Reply {
	switch request.Kind {
	case mesh.Submit:
		return h.submit(request)
	case mesh.Status:
		return h.status(request)
	case mesh.Cancel:
		return h.cancelJob(request)
	default:
		h.mu.Lock()
		defer h.mu.Unlock()
		return mesh.Reply{Outcome: mesh.Answered, Pending: h.table.CountPendingJobs(request.Queue)}
	}
}

// submit admits a job and stores it. A job that is known already is neither admitted nor stored again, so a caller may repeat a submission.
func (h *Holder) submit(request mesh.Request) mesh.Reply {
	if reply, settled := h.resubmitted(request); settled {
		return reply
	}
	if h.cannotWrite() {
		return mesh.Reply{Outcome: mesh.NotDone, RetryMs: retryAfterMs, Cause: "holder cannot write to the store"}
	}
	job, err := decodeJob(request.Job)
	if err != nil {
		return mesh.Reply{Outcome: mesh.NotDone, RetryMs: retryAfterMs, Cause: err.Error()}
	}
	if admission := h.admit(job); admission.Refused {
		if admission.Reason != "" {
			h.agent.meters.countShed(admission.Reason)
		}
		return mesh.Reply{
			Outcome: mesh.Overload, RetryMs: admission.RetryAfter.Milliseconds(),
			Cause: fmt.Sprintf("work ahead takes %d ms, the job may wait %d ms", admission.ExpectedWait.Milliseconds(), admission.MaxWait.Milliseconds()),
		}
	}
	return h.intake.submit(job, request.Job)
}

// resubmitted returns the reply to a submission whose identifier is that of a known job, and whether it is. The state of the caller's own job is kept for its retention from now on.
func (h *Holder) resubmitted(request mesh.Request) (mesh.Reply, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.IsBeingRemoved(request.ID) {
		return mesh.Reply{Outcome: mesh.NotDone, RetryMs: retryAfterMs, Cause: "records of an earlier job with this identifier are being removed"}, true
	}
	team, queue, known := h.table.Origin(request.ID)
	switch {
	case !known:
		return mesh.Reply{}, false
	case !handedIn(request, team, queue):
		return mesh.Reply{Outcome: mesh.Conflict}, true
	}
	h.table.Resubmitted(request.ID, h.agent.clock.Now())
	return mesh.Reply{Outcome: mesh.Answered}, true
}

// handedIn reports whether the request's caller may be the one that handed in a job with the team and queue: it is of the same team, or uses the same queue, which was public then or is now.
func handedIn(request mesh.Request, team, queue string) bool {
	return team == request.Team || (queue == request.Queue && (team == "" || request.Team == ""))
}

// mayAct reports whether the request's caller may read or cancel a job with the team and queue: one that it may have handed in, or one of a public queue.
func mayAct(request mesh.Request, team, queue string) bool {
	return team == "" || handedIn(request, team, queue)
}

func (h *Holder) lookupRecorded(id work.JobID) (team, queue string, state work.State, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	team, queue, known = h.table.Origin(id)
	_, state, _ = h.table.Lookup(id)
	return team, queue, state, known
}

func (h *Holder) admit(job *work.Job) sched.Admission {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Admit(job, h.agent.clock.Now())
}

// lookup returns a job's state, or a reply that refuses the request and false. Another process may just have stored the job directly, so lookup reads the job's direct partition once before it reports a job as unknown.
func (h *Holder) lookup(request mesh.Request) (work.State, mesh.Reply, bool) {
	for reread := false; ; reread = true {
		team, queue, state, known := h.lookupRecorded(request.ID)
		switch {
		case known && !mayAct(request, team, queue):
			return state, mesh.Reply{Outcome: mesh.Denied}, false
		case known:
			return state, mesh.Reply{}, true
		case reread:
			return state, mesh.Reply{Outcome: mesh.UnknownJob}, false
		}
		if err := h.readDirect(directIndex(request.ID), 0); err != nil || h.endErr() != nil {
			return state, mesh.Reply{Outcome: mesh.NotDone, RetryMs: retryAfterMs, Cause: "store does not answer"}, false
		}
	}
}

// status returns the recorded state of a job.
func (h *Holder) status(request mesh.Request) mesh.Reply {
	state, refusal, ok := h.lookup(request)
	if !ok {
		return refusal
	}
	return mesh.Reply{Outcome: mesh.Answered, State: state}
}

// cancelJob cancels a job and replies once the cancellation is recorded in the store.
func (h *Holder) cancelJob(request mesh.Request) mesh.Reply {
	if _, refusal, ok := h.lookup(request); !ok {
		return refusal
	}
	recorded := h.beginCancel(request.ID)
	if recorded == nil {
		return mesh.Reply{Outcome: mesh.Answered}
	}
	h.wakeLoop()
	timer := time.NewTimer(submitTimeout)
	defer timer.Stop()
	select {
	case <-recorded:
		return mesh.Reply{Outcome: mesh.Answered}
	case <-timer.C:
	case <-h.ctx.Done():
	}
	return mesh.Reply{Outcome: mesh.Undecided, RetryMs: retryAfterMs, Cause: "cancellation is not recorded yet"}
}

// beginCancel cancels a job and returns a channel that is closed once the store holds that, or nil if it does already.
func (h *Holder) beginCancel(id work.JobID) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.table.Cancel(id, h.agent.clock.Now()) {
		return nil
	}
	recorded := make(chan struct{})
	h.cancelWaiters[id] = append(h.cancelWaiters[id], recorded)
	return recorded
}
