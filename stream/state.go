package stream

import (
	"sync"
	"sync/atomic"

	"lavenderwing.example/lavenderwing/logapi"
	"lavenderwing.example/lavenderwing/record"
	"lavenderwing.example/lavenderwing/state"
)

// minRelayEntries is the minimum number of newest entries that are kept for peers that cannot reach the log. Fewer are kept until so many were applied, and up to twice as many later.
const minRelayEntries = 2048

// State applies the entries of the state stream and gives any goroutine access to the newest tables.
type State struct {
	mu       sync.Mutex
	tables   atomic.Pointer[state.Tables]
	watchers []func(state.Tables)
	writer   *Writer
	// recent holds the newest entries, in the order of their offsets.
	recent []logapi.Entry
}

// NewState returns an empty state; the writer gets the results of the batches that the state applies.
func NewState(writer *Writer) *State {
	s := &State{writer: writer}
	empty := state.New()
	s.tables.Store(&empty)
	return s
}

// Watch registers a function that is called with the new tables after each batch. The state is locked during the call, so f must not call its methods, except Tables and NextOffset.
func (s *State) Watch(f func(state.Tables)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
}

// Tables returns the newest tables.
func (s *State) Tables() state.Tables { return *s.tables.Load() }

// NextOffset returns the offset to read next.
func (s *State) NextOffset() int64 { return s.Tables().Offset() + 1 }

// Apply applies one batch, unless its offset was applied before.
func (s *State) Apply(e logapi.Entry, b record.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Tables()
	if e.Offset <= before.Offset() {
		return
	}
	repeated := b.Sequence <= before.LastSequence(b.Writer)
	after, errs := before.Apply(e.Offset, b)
	s.retain(e)
	s.tables.Store(&after)
	for _, notify := range s.watchers {
		notify(after)
	}
	if !repeated {
		s.writer.ReportApplied(b, errs)
	}
}

// retain keeps an entry for peers. When twice the minimum is kept, it copies the newest entries to a new array, so that
// the memory of the old ones can be freed.
func (s *State) retain(e logapi.Entry) {
	if len(s.recent) >= 2*minRelayEntries {
		s.recent = append([]logapi.Entry(nil), s.recent[minRelayEntries:]...)
	}
	s.recent = append(s.recent, e)
}

// EntriesFrom returns at most limit entries from the given offset on, and none if the entry at that offset is no longer kept.
func (s *State) EntriesFrom(from int64, limit int) []logapi.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recent) == 0 || from < s.recent[0].Offset {
		return nil
	}
	for i, e := range s.recent {
		if e.Offset >= from {
			return append([]logapi.Entry(nil), s.recent[i:min(len(s.recent), i+limit)]...)
		}
	}
	return nil
}

// ApplyRelayed applies entries that a peer has read from the log; entries that do not follow the last applied offset are skipped.
func (s *State) ApplyRelayed(entries []logapi.Entry) {
	for _, e := range entries {
		if e.Offset != s.NextOffset() {
			continue
		}
		b, err := record.Decode(e.Data)
		if err != nil {
			// Every reader applies an entry that cannot be decoded as an empty batch, so that the offset advances and all states stay equal.
			b = record.Batch{}
		}
		s.Apply(e, b)
	}
}
