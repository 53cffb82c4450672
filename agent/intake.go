package agent

import (
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

// submitWait bounds how long a caller waits for its job to be stored, within the callers' own three seconds.
const submitWait = 2 * time.Second

// retryMs is when a caller that was refused for want of the store or a holder should come back, in milliseconds: about a takeover later.
const retryMs = 1000

// submission is a job that waits to be stored.
type submission struct {
	job   *work.Job
	value []byte
	done  chan mesh.Outcome
}

// intake stores jobs, many an append.
type intake struct {
	holder *Holder
	stream *stream
	more   chan struct{}

	mu      sync.Mutex
	pending []*submission
	closed  bool
}

func newIntake(h *Holder, s *stream) *intake {
	return &intake{holder: h, stream: s, more: make(chan struct{}, 1)}
}

// submit stores a job and waits for the outcome.
func (i *intake) submit(job *work.Job, value []byte) mesh.Reply {
	s := &submission{job: job, value: value, done: make(chan mesh.Outcome, 1)}
	i.mu.Lock()
	if i.closed {
		i.mu.Unlock()
		return mesh.Reply{Outcome: mesh.NotHolder}
	}
	i.pending = append(i.pending, s)
	i.mu.Unlock()
	signal(i.more)
	timer := time.NewTimer(submitWait)
	defer timer.Stop()
	select {
	case o := <-s.done:
		return mesh.Reply{Outcome: o, RetryMs: retryMs}
	case <-timer.C:
		if i.withdraw(s) {
			return mesh.Reply{Outcome: mesh.NotDone, RetryMs: retryMs, Cause: "store does not answer"}
		}
		return mesh.Reply{Outcome: mesh.Undecided, Cause: "store does not answer"}
	}
}

// withdraw takes a submission back that no append has carried yet.
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

func (i *intake) take() []*submission {
	i.mu.Lock()
	defer i.mu.Unlock()
	batch := i.pending
	i.pending = nil
	return batch
}

// run stores what is submitted until the epoch ends.
func (i *intake) run() {
	h := i.holder
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-i.more:
		}
		batch := i.take()
		if len(batch) == 0 {
			continue
		}
		records := make([]platform.Record, len(batch))
		for n, s := range batch {
			records[n] = platform.Record{Key: string(s.job.ID), Value: s.value}
		}
		if _, err := i.stream.append(h.ctx, records); err != nil {
			h.agent.log.Warn("jobs not stored", zap.Int("jobs", len(batch)), zap.Error(err))
			// An earlier try of the append may have been written.
			for _, s := range batch {
				s.done <- mesh.Undecided
			}
			h.cancel(err)
			return
		}
		now := h.agent.clock.Now()
		h.mu.Lock()
		for _, s := range batch {
			h.table.Accept(s.job, now)
		}
		h.mu.Unlock()
		for _, s := range batch {
			s.done <- mesh.Answered
		}
		h.poke()
	}
}

// close refuses what was not carried by an append.
func (i *intake) close() {
	i.mu.Lock()
	i.closed = true
	batch := i.pending
	i.pending = nil
	i.mu.Unlock()
	for _, s := range batch {
		s.done <- mesh.NotHolder
	}
}

// ask answers a caller's request from the tables.
func (h *Holder) ask(q mesh.Request) mesh.Reply {
	switch q.Kind {
	case mesh.Submit:
		return h.submit(q)
	case mesh.Status:
		return h.status(q)
	case mesh.Cancel:
		return h.cancelJob(q)
	default:
		h.mu.Lock()
		defer h.mu.Unlock()
		return mesh.Reply{Outcome: mesh.Answered, Pending: h.table.CountPendingJobs(q.Queue)}
	}
}

func (h *Holder) submit(q mesh.Request) mesh.Reply {
	h.mu.Lock()
	known := h.table.Known(q.ID)
	h.mu.Unlock()
	if known {
		return mesh.Reply{Outcome: mesh.Answered}
	}
	if h.troubled() {
		return mesh.Reply{Outcome: mesh.NotDone, RetryMs: retryMs, Cause: "holder cannot write to the store"}
	}
	job, err := decodeJob(q.Job)
	if err != nil {
		return mesh.Reply{Outcome: mesh.NotDone, RetryMs: retryMs, Cause: err.Error()}
	}
	h.mu.Lock()
	admission := h.table.Admit(job, h.agent.clock.Now())
	h.mu.Unlock()
	if admission.Refused {
		return mesh.Reply{
			Outcome: mesh.Overload, RetryMs: admission.RetryAfter.Milliseconds(),
			Cause: fmt.Sprintf("work ahead takes %d ms, the job may wait %d ms", admission.ExpectedWait.Milliseconds(), admission.MaxWait.Milliseconds()),
		}
	}
	return h.intake.submit(job, q.Job)
}

// lookup finds a job, reading what was written past the holder before it says that there is none.
func (h *Holder) lookup(q mesh.Request) (work.State, mesh.Reply, bool) {
	for fresh := false; ; fresh = true {
		h.mu.Lock()
		team, state, known := h.table.Lookup(q.ID)
		h.mu.Unlock()
		switch {
		case known && team != "" && q.Team != "" && team != q.Team:
			return state, mesh.Reply{Outcome: mesh.Denied}, false
		case known:
			return state, mesh.Reply{}, true
		case fresh:
			return state, mesh.Reply{Outcome: mesh.UnknownJob}, false
		}
		if err := h.readDirect(directOf(q.ID), 0); err != nil || h.cause() != nil {
			return state, mesh.Reply{Outcome: mesh.NotDone, RetryMs: retryMs, Cause: "store does not answer"}, false
		}
	}
}

func (h *Holder) status(q mesh.Request) mesh.Reply {
	state, refusal, ok := h.lookup(q)
	if !ok {
		return refusal
	}
	return mesh.Reply{Outcome: mesh.Answered, State: state}
}

func (h *Holder) cancelJob(q mesh.Request) mesh.Reply {
	if _, refusal, ok := h.lookup(q); !ok {
		return refusal
	}
	now := h.agent.clock.Now()
	h.mu.Lock()
	var recorded chan struct{}
	if h.table.Cancel(q.ID, now) {
		recorded = make(chan struct{})
		h.waiting[q.ID] = append(h.waiting[q.ID], recorded)
	}
	h.mu.Unlock()
	if recorded == nil {
		return mesh.Reply{Outcome: mesh.Answered}
	}
	h.poke()
	timer := time.NewTimer(submitWait)
	defer timer.Stop()
	select {
	case <-recorded:
		return mesh.Reply{Outcome: mesh.Answered}
	case <-timer.C:
	case <-h.ctx.Done():
	}
	return mesh.Reply{Outcome: mesh.Undecided, RetryMs: retryMs, Cause: "cancellation is not recorded yet"}
}
