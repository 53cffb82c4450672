package agent

import (
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

const (
	// adviceQueue bounds the questions that wait; the service takes one call of a process at a time and rejects more than 32.
	adviceQueue = 256
	// adviceSlack is what an answer may take beyond the time that the queue's policy names.
	adviceSlack = time.Second
)

// seekAdvice queues questions; one that finds no place is asked again by the tables.
func (h *Holder) seekAdvice(questions []sched.AdviceRequest) {
	for _, q := range questions {
		select {
		case h.advice <- q:
		default:
			h.advised(q, nil, 0, false)
		}
	}
}

// askAdvice asks one question after the other until the epoch ends.
func (h *Holder) askAdvice() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case q := <-h.advice:
			tickets, valid, err := h.advisor.RequestTickets(q.Job, q.Occurrence, q.Step, q.Targets, h.adviceWait(q))
			if err != nil {
				h.agent.log.Warn("no advice", zap.String("job", string(q.Job)), zap.Int("step", q.Step), zap.Error(err))
			}
			h.advised(q, tickets, valid, err == nil)
		}
	}
}

// adviceWait is the longest time that an answer should take.
func (h *Holder) adviceWait(q sched.AdviceRequest) time.Duration {
	wait := adviceSlack
	if state := h.agent.config.Load(); state != nil {
		for i := range state.config.Queues {
			if a := state.config.Queues[i].Advisor; a != nil {
				wait = max(wait, adviceSlack+time.Duration((a.BaseLatencyMs+a.PerTargetLatencyMs*float64(len(q.Targets)))*float64(time.Millisecond)))
			}
		}
	}
	return wait
}

func (h *Holder) advised(q sched.AdviceRequest, tickets []work.Ticket, valid time.Duration, answered bool) {
	h.mu.Lock()
	h.table.AdviceAnswered(q, tickets, valid, answered, h.agent.clock.Now())
	h.mu.Unlock()
	h.poke()
}
