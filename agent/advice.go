package agent

import (
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

const (
	// adviceQueueSize bounds the requests that wait to be sent. The advice service handles one call per process at a time and rejects more than 32.
	adviceQueueSize = 256
	// adviceTimeoutSlack is added to the latency that the queues' configuration states for the service.
	adviceTimeoutSlack = time.Second
)

// queueAdvice queues requests for the advice service. If the queue is full, the table is told that a request was not answered, so that it repeats the request.
func (h *Holder) queueAdvice(requests []sched.AdviceRequest) {
	for _, r := range requests {
		select {
		case h.adviceQueue <- r:
		default:
			h.applyAdvice(r, nil, 0, false)
		}
	}
}

// adviceLoop sends the queued requests one after the other until the epoch ends.
func (h *Holder) adviceLoop() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case r := <-h.adviceQueue:
			tickets, valid, err := h.advisor.RequestTickets(r.Job, r.Occurrence, r.Step, r.Targets, h.adviceTimeout(r))
			if err != nil {
				h.agent.log.Warn("advice service did not answer", zap.String("job", string(r.Job)), zap.Int("step", r.Step), zap.Error(err))
			}
			h.applyAdvice(r, tickets, valid, err == nil)
		}
	}
}

// adviceTimeout returns the timeout of a request, from the highest latency that the job's queue or any configured one states for it.
func (h *Holder) adviceTimeout(r sched.AdviceRequest) time.Duration {
	latency := adviceLatency(r.Advisor, len(r.Targets))
	if state := h.agent.config.Load(); state != nil {
		for i := range state.config.Queues {
			latency = max(latency, adviceLatency(state.config.Queues[i].Advisor, len(r.Targets)))
		}
	}
	return adviceTimeoutSlack + latency
}

// adviceLatency is the latency of an answer for a number of targets, 0 without an advisor.
func adviceLatency(a *work.AdvisorConfig, targets int) time.Duration {
	if a == nil {
		return 0
	}
	return time.Duration((a.BaseLatencyMs + a.PerTargetLatencyMs*float64(targets)) * float64(time.Millisecond))
}

// applyAdvice passes the tickets of an answered request to the table, or the fact that there was no answer.
func (h *Holder) applyAdvice(r sched.AdviceRequest, tickets []work.Ticket, valid time.Duration, answered bool) {
	h.mu.Lock()
	h.table.AdviceAnswered(r, tickets, valid, answered, h.agent.clock.Now())
	h.mu.Unlock()
	h.wakeLoop()
}
