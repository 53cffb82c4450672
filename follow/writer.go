package follow

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderwing.example/lavenderwing/plat"
	"lavenderwing.example/lavenderwing/record"
)

// Defaults of a Writer.
const (
	defaultInterval = 10 * time.Millisecond
	defaultRetry    = 200 * time.Millisecond
	defaultPending  = 4096
	defaultBatch    = 1024
)

// Writer appends records in batches; each batch keeps its sequence over all its tries, so that the fold takes it once.
type Writer struct {
	log    plat.Log
	stream string
	id     string
	clock  clockwork.Clock

	retry      time.Duration
	maxPending int
	maxBatch   int

	mu       sync.Mutex
	interval time.Duration
	pending  []*Ticket
	inflight map[uint64][]*Ticket
	sequence uint64
	folded   uint64
	appends  int64
	wake     chan struct{}
	seen     chan struct{}
}

// WriterOption changes how a Writer is built.
type WriterOption func(*Writer)

// WithInterval sets the shortest time between two appends.
func WithInterval(d time.Duration) WriterOption { return func(w *Writer) { w.interval = d } }

// WithClock replaces the real clock.
func WithClock(c clockwork.Clock) WriterOption { return func(w *Writer) { w.clock = c } }

// WithMaxPending bounds the records that wait to be appended.
func WithMaxPending(n int) WriterOption { return func(w *Writer) { w.maxPending = n } }

// NewWriter returns a writer to one stream under an identifier that no other run of any process uses.
func NewWriter(log plat.Log, stream, id string, opts ...WriterOption) *Writer {
	w := &Writer{
		log:        log,
		stream:     stream,
		id:         id,
		clock:      clockwork.NewRealClock(),
		interval:   defaultInterval,
		retry:      defaultRetry,
		maxPending: defaultPending,
		maxBatch:   defaultBatch,
		inflight:   map[uint64][]*Ticket{},
		wake:       make(chan struct{}, 1),
		seen:       make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Submit queues a record; done is called once, from the goroutine that folds, with the fold's verdict.
func (w *Writer) Submit(r record.Record, done func(error)) (*Ticket, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending) >= w.maxPending {
		return nil, &FullError{Stream: w.stream, Limit: w.maxPending}
	}
	t := &Ticket{writer: w, record: r, done: done}
	w.pending = append(w.pending, t)
	signal(w.wake)
	return t, nil
}

// Await submits a record and waits for the fold's verdict or the end of ctx.
func (w *Writer) Await(ctx context.Context, r record.Record) error {
	verdict := make(chan error, 1)
	t, err := w.Submit(r, func(err error) { verdict <- err })
	if err != nil {
		return err
	}
	select {
	case err := <-verdict:
		return err
	case <-ctx.Done():
		t.Cancel()
		return ctx.Err()
	}
}

// SetInterval changes the shortest time between two appends.
func (w *Writer) SetInterval(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interval = d
}

// Appends returns how many appends were tried.
func (w *Writer) Appends() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appends
}

// Folded tells the writer that a batch was folded with the given verdicts; batches of other writers are ignored.
func (w *Writer) Folded(b record.Batch, errs []error) {
	if b.Writer != w.id {
		return
	}
	w.mu.Lock()
	tickets := w.inflight[b.Sequence]
	delete(w.inflight, b.Sequence)
	w.folded = max(w.folded, b.Sequence)
	w.mu.Unlock()
	signal(w.seen)
	for i, t := range tickets {
		t.done(errs[i])
	}
}

// Run appends what is submitted until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b, ok := w.next()
		if !ok {
			select {
			case <-w.wake:
			case <-ctx.Done():
			}
			continue
		}
		w.append(ctx, b)
		w.rest(ctx)
	}
}

// next takes the pending records that were not cancelled into a new batch.
func (w *Writer) next() (record.Batch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.pending), w.maxBatch)
	if n == 0 {
		return record.Batch{}, false
	}
	w.sequence++
	b := record.Batch{Writer: w.id, Sequence: w.sequence, TimeMs: w.clock.Now().UnixMilli()}
	for _, t := range w.pending[:n] {
		t.taken = true
		b.Records = append(b.Records, t.record)
	}
	w.inflight[b.Sequence] = append([]*Ticket(nil), w.pending[:n]...)
	w.pending = append(w.pending[:0], w.pending[n:]...)
	return b, true
}

// append repeats one batch until the log says yes or the fold has seen it.
func (w *Writer) append(ctx context.Context, b record.Batch) {
	data, err := record.Encode(b)
	if err != nil {
		w.Folded(b, repeat(err, len(b.Records)))
		return
	}
	for ctx.Err() == nil && !w.isFolded(b.Sequence) {
		w.mu.Lock()
		w.appends++
		w.mu.Unlock()
		if _, err := w.log.Append(ctx, w.stream, data); err == nil {
			return
		}
		w.pause(ctx)
	}
}

func (w *Writer) isFolded(sequence uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.folded >= sequence
}

// pause waits for the retry delay, or less when the fold sees a batch of this writer.
func (w *Writer) pause(ctx context.Context) {
	select {
	case <-w.clock.After(w.retry):
	case <-w.seen:
	case <-ctx.Done():
	}
}

// rest waits for the shortest time between two appends.
func (w *Writer) rest(ctx context.Context) {
	w.mu.Lock()
	interval := w.interval
	w.mu.Unlock()
	select {
	case <-w.clock.After(interval):
	case <-ctx.Done():
	}
}

func repeat(err error, n int) []error {
	errs := make([]error, n)
	for i := range errs {
		errs[i] = err
	}
	return errs
}

// signal wakes the receiver of a channel with room for one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
