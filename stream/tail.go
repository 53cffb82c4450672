package stream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderwing.example/lavenderwing/logapi"
	"lavenderwing.example/lavenderwing/record"
)

// Timing of a Tail: how long a read waits for new entries, and the delay after a failed read.
const (
	tailReadWait   = 2 * time.Second
	tailRetryDelay = 200 * time.Millisecond
)

// Applier applies the batches of one stream in the order of their offsets.
type Applier interface {
	// Apply applies an entry, whose decoded batch is b; an offset that was applied before has no effect.
	Apply(e logapi.Entry, b record.Batch)
	// NextOffset returns the offset to read next.
	NextOffset() int64
}

// Tail reads a stream continuously and passes its batches on.
type Tail struct {
	log           logapi.Log
	stream        string
	applier       Applier
	clock         clockwork.Clock
	onOutOfRange  func(*logapi.OffsetOutOfRangeError)
	onDecodeError func(offset int64, err error)

	mu         sync.Mutex
	caughtUpAt time.Time
	caughtUp   bool
	bytesRead  int64
}

// TailOption configures a Tail.
type TailOption func(*Tail)

// WithTailClock sets the clock, which is the real one by default.
func WithTailClock(c clockwork.Clock) TailOption { return func(t *Tail) { t.clock = c } }

// WithOutOfRangeHandler sets a function that is called when the log no longer keeps the offset to be read next.
func WithOutOfRangeHandler(f func(*logapi.OffsetOutOfRangeError)) TailOption {
	return func(t *Tail) { t.onOutOfRange = f }
}

// WithDecodeErrorHandler sets a function that is called for each entry that cannot be decoded; every reader applies such an entry as an empty batch.
func WithDecodeErrorHandler(f func(offset int64, err error)) TailOption {
	return func(t *Tail) { t.onDecodeError = f }
}

// NewTail returns a tail of one stream.
func NewTail(log logapi.Log, stream string, applier Applier, opts ...TailOption) *Tail {
	t := &Tail{
		log:           log,
		stream:        stream,
		applier:       applier,
		clock:         clockwork.NewRealClock(),
		onOutOfRange:  func(*logapi.OffsetOutOfRangeError) {},
		onDecodeError: func(int64, error) {},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Run reads the stream until ctx ends.
func (t *Tail) Run(ctx context.Context) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if err := t.Poll(ctx, wait); err != nil {
			select {
			case <-t.clock.After(tailRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		wait = tailReadWait
	}
}

// Poll reads once, waiting at most the given time for new entries, and applies the entries that it read.
func (t *Tail) Poll(ctx context.Context, wait time.Duration) error {
	requestedAt := t.clock.Now()
	from := t.applier.NextOffset()
	page, err := t.log.Read(ctx, t.stream, from, wait)
	var outOfRange *logapi.OffsetOutOfRangeError
	if errors.As(err, &outOfRange) {
		t.onOutOfRange(outOfRange)
	}
	if err != nil {
		return err
	}
	for _, e := range page.Entries {
		t.applyEntry(e)
	}
	if t.applier.NextOffset() >= page.Next {
		t.mu.Lock()
		// All entries that were appended before the request are applied now.
		t.caughtUpAt = requestedAt
		t.caughtUp = true
		t.mu.Unlock()
	}
	return nil
}

func (t *Tail) applyEntry(e logapi.Entry) {
	t.mu.Lock()
	t.bytesRead += int64(len(e.Data))
	t.mu.Unlock()
	b, err := record.Decode(e.Data)
	if err != nil {
		t.onDecodeError(e.Offset, err)
		// An empty batch moves the offset past an entry that cannot be decoded.
		b = record.Batch{}
	}
	t.applier.Apply(e, b)
}

// CaughtUpAt returns the time at which the last read that reached the end of the stream was started, or the zero time if none did.
func (t *Tail) CaughtUpAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.caughtUpAt
}

// CaughtUp reports whether the tail has reached the end of the stream at least once.
func (t *Tail) CaughtUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.caughtUp
}

// BytesRead returns the total size of all entries read, in bytes.
func (t *Tail) BytesRead() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytesRead
}
