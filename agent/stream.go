package agent

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/platform"
)

// producerName is the producer name of all holders; the store tells them apart by the producer's epoch.
const producerName = "holder"

// Timeouts of one attempt of an append. Retrying early is safe: the store writes each sequence number only once, and it responds to a repeated number as it did the first time. So a lost response delays an append by little more than the usual latency.
const (
	// minAppendTimeout is somewhat more than the latency of a slow store, because a retry queues behind the store's other work. maxAppendTimeout is twice that latency.
	minAppendTimeout = 500 * time.Millisecond
	maxAppendTimeout = 800 * time.Millisecond
	// appendTimeoutFactor is the timeout of the first attempt as a multiple of the average latency, within the bounds above.
	appendTimeoutFactor = 4
)

// appendRetryPause is the pause before an append is retried.
const appendRetryPause = 60 * time.Millisecond

// fencedWriter appends to one partition on behalf of the holder of one epoch. Once a later holder has fenced the partition, its appends fail with a platform.FencedError.
type fencedWriter struct {
	agent *Agent
	topic string
	part  int
	epoch int64
	// nextSequence is the sequence number of the next append.
	nextSequence int64
	// latency is the average latency of appends.
	latency latencyAverage
	// failingSince is when the first failed attempt since the last success began, 0 if no attempt has failed since.
	failingSince atomic.Int64
	// confirmedAt is when the last successful append began. At that time no later holder had fenced the partition, because its fence would have made the append fail.
	confirmedAt atomic.Int64
}

func newFencedWriter(a *Agent, topic string, part int, epoch int64) *fencedWriter {
	return &fencedWriter{agent: a, topic: topic, part: part, epoch: epoch, latency: latencyAverage{average: a.storeLatency.get()}}
}

// fence raises the producer's epoch at the store by an append without records, so that appends of earlier holders fail.
func (w *fencedWriter) fence(ctx context.Context) error {
	_, err := w.append(ctx, nil)
	return err
}

// appendResult is the result of an attempt that was answered.
type appendResult struct {
	offset int64
	began  time.Duration
	took   time.Duration
}

// isDecisive reports whether a further attempt of an append would fail in the same way.
func isDecisive(err error) bool {
	var fenced *platform.FencedError
	var sequence *platform.SequenceError
	return errors.As(err, &fenced) || errors.As(err, &sequence) || isRefused(err)
}

// isRefused reports whether the store does not take an append for what it contains.
func isRefused(err error) bool {
	var refused *platform.RefusedError
	var tooLong *platform.KeyTooLongError
	return errors.As(err, &refused) || errors.As(err, &tooLong)
}

// RefusedRecordsError means that the store does not take some of the records of an append for what they contain. The others are written.
type RefusedRecordsError struct {
	Keys []string
	// Cause is why the first of them was refused.
	Cause error
}

// Error returns a message with the number of the records, the first key and the cause.
func (e *RefusedRecordsError) Error() string {
	return fmt.Sprintf("store refuses %d records, first %q: %v", len(e.Keys), e.Keys[0], e.Cause)
}

// Unwrap returns the cause.
func (e *RefusedRecordsError) Unwrap() error { return e.Cause }

// add adds a record that the store refuses.
func (e *RefusedRecordsError) add(key string, cause error) {
	if len(e.Keys) == 0 {
		e.Cause = cause
	}
	e.Keys = append(e.Keys, key)
}

// refusedKeys returns the keys of the records that the store refuses and true, or false if the append has failed otherwise.
func refusedKeys(err error) ([]string, bool) {
	if err == nil {
		return nil, true
	}
	var refused *RefusedRecordsError
	if errors.As(err, &refused) {
		return refused.Keys, true
	}
	return nil, false
}

// append writes the records, in several appends if they exceed the store's limit for one, and returns the offset of the first, or -1 if it is not known. A record that the store refuses for what it contains does not keep the others from being written: if the error is a RefusedRecordsError, all others are. With any other error, some of the records may be written.
func (w *fencedWriter) append(ctx context.Context, records []platform.Record) (int64, error) {
	refused := &RefusedRecordsError{}
	first, rest := splitRecords(records, w.agent.settings.Store.RequestBytes)
	offset, err := w.appendPart(ctx, first, refused)
	for err == nil && len(rest) > 0 {
		first, rest = splitRecords(rest, w.agent.settings.Store.RequestBytes)
		_, err = w.appendPart(ctx, first, refused)
	}
	if err == nil && len(refused.Keys) > 0 {
		w.agent.log.Error("store refuses records", zap.String("topic", w.topic), zap.Strings("keys", refused.Keys), zap.Error(refused.Cause))
		return offset, refused
	}
	return offset, err
}

// appendPart writes records that fit one append. If the store refuses them, it writes each half by itself, until the refused records are found.
func (w *fencedWriter) appendPart(ctx context.Context, records []platform.Record, refused *RefusedRecordsError) (int64, error) {
	offset, err := w.appendOnce(ctx, records)
	if err == nil || !isRefused(err) || len(records) == 0 {
		return offset, err
	}
	if len(records) == 1 {
		refused.add(records[0].Key, err)
		return -1, nil
	}
	half := len(records) / 2
	offset, err = w.appendPart(ctx, records[:half], refused)
	if err != nil {
		return offset, err
	}
	_, err = w.appendPart(ctx, records[half:], refused)
	return offset, err
}

// splitRecords returns the first records that fit an append of the given size together, at least one, and the others. A limit of 0 means that there is none.
func splitRecords(records []platform.Record, limit int) (first, rest []platform.Record) {
	size := 0
	for n, r := range records {
		size += r.Bytes()
		if n > 0 && limit > 0 && size > limit {
			return records[:n], records[n:]
		}
	}
	return records, nil
}

// appendOnce writes the records with one append and returns the offset of the first, or -1 if the offset is not known because the response was lost. It retries after every error except a platform.FencedError, an unexplained platform.SequenceError and a refusal of the records, until the append is known to be written or the context ends.
func (w *fencedWriter) appendOnce(ctx context.Context, records []platform.Record) (int64, error) {
	attempts := 0
	for round := 0; ; round++ {
		began := w.agent.clock.Now()
		result, made, err := hedged(ctx, w.latency.get(), w.attempt(records, w.attemptTimeout(round)), isDecisive)
		attempts += made
		if err == nil {
			w.latency.record(result.took)
			w.recordWritten(result.began)
			return result.offset, nil
		}
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		var fenced *platform.FencedError
		if errors.As(err, &fenced) || (isRefused(err) && len(records) > 0) {
			return 0, err
		}
		var sequence *platform.SequenceError
		if errors.As(err, &sequence) && sequence.Expected >= 0 && sequence.Expected != w.nextSequence {
			switch {
			case attempts > 1 && sequence.Expected == w.nextSequence+1:
				// An earlier attempt was written, but its response was lost.
				w.recordWritten(began)
				return -1, nil
			case sequence.Expected > w.nextSequence:
				// Somebody else has appended under this epoch, so these records are not known to be written.
				return 0, err
			}
			w.nextSequence = sequence.Expected
			continue
		}
		w.failingSince.CompareAndSwap(0, int64(began))
		w.agent.recordStoreFailure(w.topic, err)
		if !sleep(ctx, appendRetryPause) {
			return 0, ctx.Err()
		}
	}
}

// recordWritten counts an append that is written; the attempt that showed it began at the given time.
func (w *fencedWriter) recordWritten(began time.Duration) {
	w.nextSequence++
	w.failingSince.Store(0)
	w.confirmedAt.Store(int64(began))
	w.agent.recordStoreAnswer()
}

// attempt returns a function that makes one attempt to append the records with the next sequence number.
func (w *fencedWriter) attempt(records []platform.Record, timeout time.Duration) func() (appendResult, error) {
	producer := &platform.Producer{Name: producerName, Epoch: w.epoch, Sequence: w.nextSequence}
	return func() (appendResult, error) {
		began := w.agent.clock.Now()
		offset, err := w.agent.store.Append(w.topic, w.part, records, producer, timeout)
		w.agent.meters.storeWrites.Inc(1)
		return appendResult{offset: offset, began: began, took: w.agent.clock.Now() - began}, err
	}
}

// attemptTimeout is the timeout of the attempts of a round; it doubles with each round up to maxAppendTimeout.
func (w *fencedWriter) attemptTimeout(round int) time.Duration {
	first := max(appendTimeoutFactor*w.latency.get(), minAppendTimeout)
	return min(first<<min(round, 3), maxAppendTimeout)
}

// failingFor returns how long ago the first failed attempt since the last success began, 0 if none has failed since.
func (w *fencedWriter) failingFor() time.Duration {
	since := w.failingSince.Load()
	if since == 0 {
		return 0
	}
	return w.agent.clock.Now() - time.Duration(since)
}
