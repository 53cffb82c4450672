package stream

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderwing.example/lavenderwing/logapi"
	"lavenderwing.example/lavenderwing/record"
)

// Defaults of a Writer: the pause after each batch, the pause after a failed append, and two maximums in records.
const (
	defaultAppendInterval = 10 * time.Millisecond
	defaultRetryDelay     = 200 * time.Millisecond
	defaultMaxPending     = 4096
	defaultMaxBatch       = 1024
)

// Writer appends records in batches; an append that is retried has the same sequence number, so that readers apply the batch only once.
type Writer struct {
	log    logapi.Log
	stream string
	id     string
	clock  clockwork.Clock

	retryDelay time.Duration
	maxPending int
	maxBatch   int

	mu             sync.Mutex
	appendInterval time.Duration
	pending        []*Submission
	inflight       map[uint64][]*Submission
	sequence       uint64
	lastApplied    uint64
	appends        int64
	wake           chan struct{}
	applied        chan struct{}
}

// WriterOption configures a Writer.
type WriterOption func(*Writer)

// WithAppendInterval sets the pause after each batch, in which records collect for the next one.
func WithAppendInterval(d time.Duration) WriterOption {
	return func(w *Writer) { w.appendInterval = d }
}

// WithClock sets the clock, which is the real one by default.
func WithClock(c clockwork.Clock) WriterOption { return func(w *Writer) { w.clock = c } }

// WithMaxPending sets how many records may wait for the next batches.
func WithMaxPending(n int) WriterOption { return func(w *Writer) { w.maxPending = n } }

// NewWriter returns a writer to one stream; no other incarnation may use the same identifier, because the sequence numbers of each writer start at one.
func NewWriter(log logapi.Log, stream, id string, opts ...WriterOption) *Writer {
	w := &Writer{
		log:            log,
		stream:         stream,
		id:             id,
		clock:          clockwork.NewRealClock(),
		appendInterval: defaultAppendInterval,
		retryDelay:     defaultRetryDelay,
		maxPending:     defaultMaxPending,
		maxBatch:       defaultMaxBatch,
		inflight:       map[uint64][]*Submission{},
		wake:           make(chan struct{}, 1),
		applied:        make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Submit queues a record for the next batch; done gets the result when the batch is applied or cannot be encoded, and is not called if the record is cancelled first or the batch is never applied.
func (w *Writer) Submit(r record.Record, done func(error)) (*Submission, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending) >= w.maxPending {
		return nil, &FullError{Stream: w.stream, Limit: w.maxPending}
	}
	s := &Submission{writer: w, record: r, done: done}
	w.pending = append(w.pending, s)
	signal(w.wake)
	return s, nil
}

// SubmitAndWait submits a record and waits for its result; if ctx ends first, it cancels the record, which can still take effect if it is already in a batch.
func (w *Writer) SubmitAndWait(ctx context.Context, r record.Record) error {
	result := make(chan error, 1)
	s, err := w.Submit(r, func(err error) { result <- err })
	if err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		s.Cancel()
		return ctx.Err()
	}
}

// SetAppendInterval changes the pause after each batch.
func (w *Writer) SetAppendInterval(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appendInterval = d
}

// Appends returns the number of append calls made to the log, retries included.
func (w *Writer) Appends() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appends
}

// ReportApplied passes the result of each record of a batch to its submitter, after the batch was applied or could not be encoded; batches of other writers are ignored.
func (w *Writer) ReportApplied(b record.Batch, errs []error) {
	if b.Writer != w.id {
		return
	}
	w.mu.Lock()
	submissions := w.inflight[b.Sequence]
	delete(w.inflight, b.Sequence)
	w.lastApplied = max(w.lastApplied, b.Sequence)
	w.mu.Unlock()
	signal(w.applied)
	for i, s := range submissions {
		s.done(errs[i])
	}
}

// Run appends submitted records until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b, ok := w.nextBatch()
		if !ok {
			select {
			case <-w.wake:
			case <-ctx.Done():
			}
			continue
		}
		w.append(ctx, b)
		w.waitAppendInterval(ctx)
	}
}

// nextBatch moves pending records into a new batch, from which they can no longer be cancelled, and returns false if there are none.
func (w *Writer) nextBatch() (record.Batch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.pending), w.maxBatch)
	if n == 0 {
		return record.Batch{}, false
	}
	w.sequence++
	b := record.Batch{Writer: w.id, Sequence: w.sequence, TimeMs: w.clock.Now().UnixMilli()}
	for _, s := range w.pending[:n] {
		s.dequeued = true
		b.Records = append(b.Records, s.record)
	}
	w.inflight[b.Sequence] = append([]*Submission(nil), w.pending[:n]...)
	w.pending = append(w.pending[:0], w.pending[n:]...)
	return b, true
}

// append retries the append of a batch until it succeeds, a reader has applied the batch, or ctx ends. An append whose
// reply was lost has taken effect all the same.
func (w *Writer) append(ctx context.Context, b record.Batch) {
	data, err := record.Encode(b)
	if err != nil {
		// No reader will ever apply this batch.
		w.ReportApplied(b, repeatError(err, len(b.Records)))
		return
	}
	for ctx.Err() == nil && !w.isApplied(b.Sequence) {
		w.mu.Lock()
		w.appends++
		w.mu.Unlock()
		if _, err := w.log.Append(ctx, w.stream, data); err == nil {
			return
		}
		w.waitRetryDelay(ctx)
	}
}

func (w *Writer) isApplied(sequence uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastApplied >= sequence
}

// waitRetryDelay waits until the delay has passed, a batch of this writer was applied, or ctx ends.
func (w *Writer) waitRetryDelay(ctx context.Context) {
	select {
	case <-w.clock.After(w.retryDelay):
	case <-w.applied:
	case <-ctx.Done():
	}
}

// waitAppendInterval waits for the pause after a batch, or until ctx ends.
func (w *Writer) waitAppendInterval(ctx context.Context) {
	w.mu.Lock()
	interval := w.appendInterval
	w.mu.Unlock()
	select {
	case <-w.clock.After(interval):
	case <-ctx.Done():
	}
}

func repeatError(err error, n int) []error {
	errs := make([]error, n)
	for i := range errs {
		errs[i] = err
	}
	return errs
}

// signal sends to a channel with a buffer of one, unless a signal is already waiting there.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
