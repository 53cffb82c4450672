package agent

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"lavenderwing.example/lavenderwing/platform"
)

// producerName is shared by all holders; their epochs tell them apart.
const producerName = "holder"

// Timeouts of one attempt of an append. The store writes each sequence number only once and repeats its answer, so that an early retry is safe and a lost answer costs little more than the usual latency.
const (
	// minAppendTimeout is somewhat more than the latency of a slow store, because a retry queues behind the store's other work; maxAppendTimeout is twice that latency.
	minAppendTimeout = 500 * time.Millisecond
	maxAppendTimeout = 800 * time.Millisecond
	// appendTimeoutFactor times the average latency is the timeout of the first attempt, within the bounds above.
	appendTimeoutFactor = 4
	// latencyWeight is the weight of the newest answer in the moving average of the latency.
	latencyWeight = 0.3
)

// appendRetryPause is the pause before an append is retried.
const appendRetryPause = 60 * time.Millisecond

// fencedWriter appends to one partition as the holder of an epoch; once a later holder fences the partition, its appends fail.
type fencedWriter struct {
	agent *Agent
	topic string
	part  int
	epoch int64
	seq   int64
	// averageLatency is the moving average of the answer time, in nanoseconds.
	averageLatency float64
	// failingSince is when the first of the current consecutive failures began, 0 if the last attempt succeeded.
	failingSince atomic.Int64
	// confirmedAt is when the last successful append began, which shows that no later holder had fenced the partition.
	confirmedAt atomic.Int64
}

// fence raises the producer's epoch at the store, so that appends of earlier holders fail.
func (w *fencedWriter) fence(ctx context.Context) error {
	_, err := w.append(ctx, nil)
	return err
}

// append writes the records and returns the offset of the first, or -1 if it is not known; it retries until the outcome is certain or the context ends.
func (w *fencedWriter) append(ctx context.Context, records []platform.Record) (int64, error) {
	for attempt := 0; ; attempt++ {
		began := w.agent.clock.Now()
		offset, err := w.agent.store.Append(w.topic, w.part, records, &platform.Producer{Name: producerName, Epoch: w.epoch, Sequence: w.seq}, w.attemptTimeout(attempt))
		w.agent.meters.storeWrites.Inc(1)
		if err == nil {
			w.seq++
			w.recordLatency(w.agent.clock.Now() - began)
			w.failingSince.Store(0)
			w.confirmedAt.Store(int64(began))
			w.agent.storeAnswered()
			return offset, nil
		}
		var fenced *platform.FencedError
		if errors.As(err, &fenced) {
			return 0, err
		}
		var sequence *platform.SequenceError
		if errors.As(err, &sequence) && sequence.Expected >= 0 && sequence.Expected != w.seq {
			if sequence.Expected > w.seq {
				// An earlier attempt was written and its answer lost.
				w.seq = sequence.Expected
				return -1, nil
			}
			w.seq = sequence.Expected
			continue
		}
		w.failingSince.CompareAndSwap(0, int64(began))
		w.agent.storeFailed(w.topic, err)
		if !sleep(ctx, appendRetryPause) {
			return 0, ctx.Err()
		}
	}
}

// recordLatency adds an answer time to the moving average.
func (w *fencedWriter) recordLatency(took time.Duration) {
	w.averageLatency += latencyWeight * (float64(took) - w.averageLatency)
}

// attemptTimeout is the timeout of an attempt; it doubles with each attempt up to maxAppendTimeout.
func (w *fencedWriter) attemptTimeout(attempt int) time.Duration {
	first := max(time.Duration(appendTimeoutFactor*w.averageLatency), minAppendTimeout)
	return min(first<<min(attempt, 3), maxAppendTimeout)
}

// failingFor returns for how long appends have failed, 0 if the last one succeeded.
func (w *fencedWriter) failingFor() time.Duration {
	since := w.failingSince.Load()
	if since == 0 {
		return 0
	}
	return w.agent.clock.Now() - time.Duration(since)
}
