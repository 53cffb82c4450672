package follow

import (
	"sync"
	"sync/atomic"

	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/record"
)

// State folds the state stream and shows the newest tables to any goroutine.
type State struct {
	mu      sync.Mutex
	tables  atomic.Pointer[fold.Tables]
	watches []func(fold.Tables)
	writer  *Writer
}

// NewState returns a state before the first record, whose writer is told of its verdicts.
func NewState(writer *Writer) *State {
	s := &State{writer: writer}
	empty := fold.New()
	s.tables.Store(&empty)
	return s
}

// Watch adds a function that is called after each batch with the new tables.
func (s *State) Watch(f func(fold.Tables)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches = append(s.watches, f)
}

// Tables returns the newest tables.
func (s *State) Tables() fold.Tables { return *s.tables.Load() }

// Next returns the offset to read next.
func (s *State) Next() int64 { return s.Tables().Offset() + 1 }

// Fold applies one batch.
func (s *State) Fold(offset int64, b record.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Tables()
	if offset <= before.Offset() {
		return
	}
	repeated := b.Sequence <= before.Folded(b.Writer)
	after, errs := before.Apply(offset, b)
	s.tables.Store(&after)
	for _, watch := range s.watches {
		watch(after)
	}
	if !repeated {
		s.writer.Folded(b, errs)
	}
}
