package follow

import (
	"sync"
	"sync/atomic"

	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/plat"
	"lavenderwing.example/lavenderwing/record"
)

// relayKeep is the number of newest entries that are kept for peers that cannot reach the log.
const relayKeep = 2048

// State folds the state stream and shows the newest tables to any goroutine.
type State struct {
	mu      sync.Mutex
	tables  atomic.Pointer[fold.Tables]
	watches []func(fold.Tables)
	writer  *Writer
	// recent holds the newest entries in order.
	recent []plat.Entry
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
func (s *State) Fold(e plat.Entry, b record.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Tables()
	if e.Offset <= before.Offset() {
		return
	}
	repeated := b.Sequence <= before.Folded(b.Writer)
	after, errs := before.Apply(e.Offset, b)
	s.keep(e)
	s.tables.Store(&after)
	for _, watch := range s.watches {
		watch(after)
	}
	if !repeated {
		s.writer.Folded(b, errs)
	}
}

// keep adds an entry to the newest ones, in a new array now and then so that old entries can be freed.
func (s *State) keep(e plat.Entry) {
	if len(s.recent) >= 2*relayKeep {
		s.recent = append([]plat.Entry(nil), s.recent[relayKeep:]...)
	}
	s.recent = append(s.recent, e)
}

// Since returns the kept entries from the offset on, and none when the one at the offset is not kept.
func (s *State) Since(from int64, most int) []plat.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recent) == 0 || from < s.recent[0].Offset {
		return nil
	}
	for i, e := range s.recent {
		if e.Offset >= from {
			return append([]plat.Entry(nil), s.recent[i:min(len(s.recent), i+most)]...)
		}
	}
	return nil
}

// Relay folds entries that a peer read from the log, as far as they follow on what is known here.
func (s *State) Relay(entries []plat.Entry) {
	for _, e := range entries {
		if e.Offset != s.Next() {
			continue
		}
		b, err := record.Decode(e.Data)
		if err != nil {
			// Every reader skips an entry that nobody can read.
			b = record.Batch{}
		}
		s.Fold(e, b)
	}
}
