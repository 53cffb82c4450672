package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderwing.example/lavenderwing/plat"
	"lavenderwing.example/lavenderwing/record"
)

// Defaults of a Tail.
const (
	defaultWait  = 2 * time.Second
	defaultPause = 200 * time.Millisecond
)

// Folder takes the batches of one stream in the order of their offsets.
type Folder interface {
	// Fold takes one entry and the batch that it holds; the same or an older offset has no effect.
	Fold(e plat.Entry, b record.Batch)
	// Next returns the offset to read next.
	Next() int64
}

// Tail reads a stream for ever and folds what it reads.
type Tail struct {
	log    plat.Log
	stream string
	folder Folder
	clock  clockwork.Clock
	onLost func(*plat.LostError)
	onBad  func(offset int64, err error)

	mu    sync.Mutex
	atEnd time.Time
	whole bool
	read  int64
}

// TailOption changes how a Tail is built.
type TailOption func(*Tail)

// WithTailClock replaces the real clock.
func WithTailClock(c clockwork.Clock) TailOption { return func(t *Tail) { t.clock = c } }

// WithLost is told when the log no longer keeps what the tail needs.
func WithLost(f func(*plat.LostError)) TailOption { return func(t *Tail) { t.onLost = f } }

// WithBad is told of entries that cannot be decoded, which are skipped by every reader alike.
func WithBad(f func(offset int64, err error)) TailOption { return func(t *Tail) { t.onBad = f } }

// NewTail returns a tail of one stream.
func NewTail(log plat.Log, stream string, folder Folder, opts ...TailOption) *Tail {
	t := &Tail{
		log:    log,
		stream: stream,
		folder: folder,
		clock:  clockwork.NewRealClock(),
		onLost: func(*plat.LostError) {},
		onBad:  func(int64, error) {},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Run reads until ctx ends.
func (t *Tail) Run(ctx context.Context) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if err := t.Step(ctx, wait); err != nil {
			select {
			case <-t.clock.After(defaultPause):
			case <-ctx.Done():
			}
			continue
		}
		wait = defaultWait
	}
}

// Step reads once, waiting at most the given time for new entries, and folds what came.
func (t *Tail) Step(ctx context.Context, wait time.Duration) error {
	asked := t.clock.Now()
	from := t.folder.Next()
	page, err := t.log.Read(ctx, t.stream, from, wait)
	var lost *plat.LostError
	if errors.As(err, &lost) {
		t.onLost(lost)
	}
	if err != nil {
		return err
	}
	for _, e := range page.Entries {
		t.fold(e)
	}
	if t.folder.Next() >= page.Next {
		t.mu.Lock()
		t.atEnd = asked
		t.whole = true
		t.mu.Unlock()
	}
	return nil
}

func (t *Tail) fold(e plat.Entry) {
	t.mu.Lock()
	t.read += int64(len(e.Data))
	t.mu.Unlock()
	b, err := record.Decode(e.Data)
	if err != nil {
		t.onBad(e.Offset, err)
		// An empty batch keeps the offset moving past an entry that nobody can read.
		b = record.Batch{}
	}
	t.folder.Fold(e, b)
}

// AtEnd returns when the tail last asked for and reached the end of the stream, and the zero time when it never did.
func (t *Tail) AtEnd() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.atEnd
}

// Whole reports whether the tail has reached the end of the stream at least once.
func (t *Tail) Whole() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.whole
}

// BytesRead returns the bytes of all entries read.
func (t *Tail) BytesRead() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.read
}
