package agent

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"lavenderwing.example/lavenderwing/platform"
)

// producerName is the one producer of the holder's partitions; epochs tell the holders apart.
const producerName = "holder"

// Waits for the answer to one try of an append. A repeat of the same number is never written twice and gets the first one's answer, so that a lost answer costs little more than the usual time of one.
const (
	// appendWaitLeast is somewhat more than a slow store takes, which does repeats one after the other with all else; appendWaitMost is twice as long as it takes.
	appendWaitLeast = 500 * time.Millisecond
	appendWaitMost  = 800 * time.Millisecond
	// appendPatience is how many times the usual answer time the first try waits.
	appendPatience = 4
	// answerRate is the weight of the newest answer in the usual time.
	answerRate = 0.3
)

// appendPause is the pause before an append is tried again.
const appendPause = 60 * time.Millisecond

// stream appends to one partition as the holder of an epoch; a later holder's fence ends it.
type stream struct {
	agent *Agent
	topic string
	part  int
	epoch int64
	seq   int64
	// usual is the usual time of an answer, in nanoseconds.
	usual float64
	// failingSince is when the first of the present row of failed tries began, 0 while all is well.
	failingSince atomic.Int64
	// confirmedAt is when the store last took an append of this epoch.
	confirmedAt atomic.Int64
}

// fence keeps earlier holders from appending.
func (s *stream) fence(ctx context.Context) error {
	_, err := s.append(ctx, nil)
	return err
}

// append writes the records and returns the offset of the first; it tries until the outcome is certain or the context ends.
func (s *stream) append(ctx context.Context, records []platform.Record) (int64, error) {
	for try := 0; ; try++ {
		began := s.agent.clock.Now()
		offset, err := s.agent.store.Append(s.topic, s.part, records, &platform.Producer{Name: producerName, Epoch: s.epoch, Sequence: s.seq}, s.tryWait(try))
		s.agent.meters.storeWrites.Inc(1)
		if err == nil {
			s.seq++
			s.answered(s.agent.clock.Now() - began)
			s.failingSince.Store(0)
			s.confirmedAt.Store(int64(began))
			s.agent.storeAnswered()
			return offset, nil
		}
		var fenced *platform.FencedError
		if errors.As(err, &fenced) {
			return 0, err
		}
		var sequence *platform.SequenceError
		if errors.As(err, &sequence) && sequence.Expected >= 0 && sequence.Expected != s.seq {
			if sequence.Expected > s.seq {
				// An earlier try was written and its answer lost.
				s.seq = sequence.Expected
				return -1, nil
			}
			s.seq = sequence.Expected
			continue
		}
		s.failingSince.CompareAndSwap(0, int64(began))
		s.agent.storeFailed(s.topic, err)
		if !sleep(ctx, appendPause) {
			return 0, ctx.Err()
		}
	}
}

// answered notes how long an answer took.
func (s *stream) answered(took time.Duration) { s.usual += answerRate * (float64(took) - s.usual) }

// tryWait is how long a try waits for its answer: twice as long as the one before it.
func (s *stream) tryWait(try int) time.Duration {
	first := max(time.Duration(appendPatience*s.usual), appendWaitLeast)
	return min(first<<min(try, 3), appendWaitMost)
}

// failing returns for how long appends have failed.
func (s *stream) failing() time.Duration {
	since := s.failingSince.Load()
	if since == 0 {
		return 0
	}
	return s.agent.clock.Now() - time.Duration(since)
}
