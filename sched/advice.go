package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

const (
	// adviceTargets is the most targets that one question names; each adds to the time of its answer.
	adviceTargets = 30
	// ticketMargin is what a ticket has to be valid for beyond the present: recording and sending a start takes less.
	ticketMargin = 300 * time.Millisecond
	// adviceRetry is the pause before a question without an answer is asked again.
	adviceRetry = 200 * time.Millisecond
)

// AdviceRequest asks which targets may run a step.
type AdviceRequest struct {
	Job        work.JobID
	Occurrence int
	Step       int
	Targets    []work.TargetID
}

// ticket is a target's permission to run a step.
type ticket struct {
	text  string
	until time.Duration
	// life is the start of the target's life for which it is good.
	life int64
}

// permits is what is known of the targets that may run a step.
type permits struct {
	tickets map[work.TargetID]ticket
	denied  map[work.TargetID]bool
	asking  bool
	// notBefore is when the next question may be asked.
	notBefore time.Duration
}

// advised reports whether the step's queue needs advice.
func (s *step) advised() bool { return s.job.queue.Advisor != nil }

// permit returns the valid ticket of a target for a step.
func (s *step) permit(row *target, now time.Duration) (string, bool) {
	if s.permits == nil {
		return "", false
	}
	k, ok := s.permits.tickets[row.ID]
	return k.text, ok && now+ticketMargin < k.until && k.life == row.born
}

// seek asks for advice on a step that has waiting items and no target with a ticket.
func (t *Table) seek(s *step, now time.Duration) {
	if s.permits == nil {
		s.permits = &permits{tickets: map[work.TargetID]ticket{}, denied: map[work.TargetID]bool{}}
	}
	if s.permits.asking || now < s.permits.notBefore {
		return
	}
	q := AdviceRequest{Job: s.job.rec.ID, Occurrence: s.occ.index, Step: s.index}
	charge := s.spec.Reservation()
	for _, row := range t.order {
		if len(q.Targets) == adviceTargets {
			break
		}
		_, valid := s.permit(row, now)
		if row.Pool == s.job.queue.Pool && !valid && !s.permits.denied[row.ID] && t.suits(s, row, now) && charge.Fits(row.free()) {
			q.Targets = append(q.Targets, row.ID)
		}
	}
	if len(q.Targets) == 0 {
		return
	}
	s.permits.asking = true
	t.questions = append(t.questions, q)
}

// TakeAdviceRequests returns the questions for advice since the last call.
func (t *Table) TakeAdviceRequests() []AdviceRequest {
	q := t.questions
	t.questions = nil
	return q
}

// AdviceAnswered applies an answer that allows some of the targets for a time, or none came.
func (t *Table) AdviceAnswered(q AdviceRequest, tickets []work.Ticket, valid time.Duration, answered bool, now time.Duration) {
	it := t.item(work.ItemID{Job: q.Job, Occurrence: q.Occurrence, Step: q.Step})
	if it == nil || it.step.permits == nil {
		return
	}
	p := it.step.permits
	p.asking = false
	if !answered {
		p.notBefore = now + adviceRetry
		return
	}
	allowed := map[work.TargetID]bool{}
	for _, k := range tickets {
		allowed[k.Target] = true
		life := int64(0)
		if row, ok := t.targets[k.Target]; ok {
			life = row.born
		}
		p.tickets[k.Target] = ticket{text: k.Value, until: now + valid, life: life}
	}
	for _, id := range q.Targets {
		if !allowed[id] {
			p.denied[id] = true
		}
	}
	t.note("advised", it.step.name(), "advice service", "")
}
