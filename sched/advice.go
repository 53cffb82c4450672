package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

const (
	// maxAdviceTargets bounds the targets named by one request, because each target adds to the time until the answer.
	maxAdviceTargets = 30
	// ticketMargin is the least remaining validity of a usable ticket; recording and sending a start takes less.
	ticketMargin = 300 * time.Millisecond
	// adviceRetryDelay is the pause before an unanswered request is repeated.
	adviceRetryDelay = 200 * time.Millisecond
)

// AdviceRequest asks which targets may run a step.
type AdviceRequest struct {
	Job        work.JobID
	Occurrence int
	Step       int
	Targets    []work.TargetID
	// Advisor is the expected latency of the answer.
	Advisor *work.AdvisorConfig
}

// ticket is a target's permission to run a step.
type ticket struct {
	text  string
	until time.Duration
	// incarnation is the incarnation of the target for which the ticket is valid.
	incarnation int64
}

// adviceState holds the advice that a step has received.
type adviceState struct {
	tickets map[work.TargetID]ticket
	denied  map[work.TargetID]bool
	asking  bool
	// notBefore is the earliest time of the next request.
	notBefore time.Duration
}

// needsAdvice reports whether targets need a ticket to run the step.
func (s *step) needsAdvice() bool { return s.job.queue.Advisor != nil }

// validTicket returns the target's ticket for the step and whether it is valid.
func (s *step) validTicket(tgt *target, now time.Duration) (string, bool) {
	if s.advice == nil {
		return "", false
	}
	k, ok := s.advice.tickets[tgt.ID]
	return k.text, ok && now+ticketMargin < k.until && k.incarnation == tgt.incarnation
}

// requestAdvice queues a request for advice on a step that has waiting items but no target with room and a valid ticket.
func (t *Table) requestAdvice(s *step, now time.Duration) {
	if s.advice == nil {
		s.advice = &adviceState{tickets: map[work.TargetID]ticket{}, denied: map[work.TargetID]bool{}}
	}
	if s.advice.asking || now < s.advice.notBefore {
		return
	}
	request := AdviceRequest{Job: s.job.record.ID, Occurrence: s.occurrence.index, Step: s.index, Advisor: s.job.queue.Advisor}
	charge := s.spec.Reservation()
	for _, tgt := range t.sortedTargets {
		if len(request.Targets) == maxAdviceTargets {
			break
		}
		_, valid := s.validTicket(tgt, now)
		if tgt.Pool == s.job.queue.Pool && !valid && !s.advice.denied[tgt.ID] && t.eligible(s, tgt, now) && charge.Fits(tgt.free()) {
			request.Targets = append(request.Targets, tgt.ID)
		}
	}
	if len(request.Targets) == 0 {
		return
	}
	s.advice.asking = true
	t.adviceRequests = append(t.adviceRequests, request)
}

// TakeAdviceRequests returns the requests for advice since the last call.
func (t *Table) TakeAdviceRequests() []AdviceRequest {
	requests := t.adviceRequests
	t.adviceRequests = nil
	return requests
}

// AdviceAnswered applies an answer, whose tickets allow some of the targets to run the step for a time, or the lack of an answer.
func (t *Table) AdviceAnswered(request AdviceRequest, tickets []work.Ticket, valid time.Duration, answered bool, now time.Duration) {
	it := t.findItem(work.ItemID{Job: request.Job, Occurrence: request.Occurrence, Step: request.Step})
	if it == nil || it.step.advice == nil {
		return
	}
	advice := it.step.advice
	advice.asking = false
	if !answered {
		advice.notBefore = now + adviceRetryDelay
		return
	}
	allowed := map[work.TargetID]bool{}
	for _, k := range tickets {
		allowed[k.Target] = true
		incarnation := int64(0)
		if tgt, ok := t.targets[k.Target]; ok {
			incarnation = tgt.incarnation
		}
		advice.tickets[k.Target] = ticket{text: k.Value, until: now + valid, incarnation: incarnation}
	}
	for _, id := range request.Targets {
		if !allowed[id] {
			advice.denied[id] = true
		}
	}
	t.logEvent("advised", it.step.name(), "advice service", "")
}
