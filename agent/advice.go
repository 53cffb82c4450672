package agent

import (
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

const (
	// adviceQueueSize bounds the waiting questions; the service takes one call of a process at a time and rejects more than 32.
	adviceQueueSize = 256
	// adviceTimeoutSlack is added to the answer time that a queue's policy names.
	adviceTimeoutSlack = time.Second
)

// queueAdvice queues questions for the advice service; the table asks one again that does not fit into the queue.
func (h *Holder) queueAdvice(questions []sched.AdviceRequest) {
	for _, q := range questions {
		select {
		case h.advice <- q:
		default:
			h.applyAdvice(q, nil, 0, false)
		}
	}
}

// adviceLoop sends one question after the other until the epoch ends.
func (h *Holder) adviceLoop() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case q := <-h.advice:
			tickets, valid, err := h.advisor.RequestTickets(q.Job, q.Occurrence, q.Step, q.Targets, h.adviceTimeout(q))
			if err != nil {
				h.agent.log.Warn("advice service did not answer", zap.String("job", string(q.Job)), zap.Int("step", q.Step), zap.Error(err))
			}
			h.applyAdvice(q, tickets, valid, err == nil)
		}
	}
}

// adviceTimeout bounds the wait for an answer to a question.
func (h *Holder) adviceTimeout(q sched.AdviceRequest) time.Duration {
	wait := adviceTimeoutSlack
	if state := h.agent.config.Load(); state != nil {
		for i := range state.config.Queues {
			if a := state.config.Queues[i].Advisor; a != nil {
				wait = max(wait, adviceTimeoutSlack+time.Duration((a.BaseLatencyMs+a.PerTargetLatencyMs*float64(len(q.Targets)))*float64(time.Millisecond)))
			}
		}
	}
	return wait
}

// applyAdvice passes an answer to the table, or that there is none.
func (h *Holder) applyAdvice(q sched.AdviceRequest, tickets []work.Ticket, valid time.Duration, answered bool) {
	h.mu.Lock()
	h.table.AdviceAnswered(q, tickets, valid, answered, h.agent.clock.Now())
	h.mu.Unlock()
	h.wakeLoop()
}
