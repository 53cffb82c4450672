package stand

import (
	"sync"
	"time"

	"lavenderwing.example/lavenderwing/plat"
)

// stream is one append-only sequence that forgets its oldest entries.
type stream struct {
	mu      sync.Mutex
	first   int64
	entries []plat.Entry
	keep    int
	grown   chan struct{}
}

func newStream(keep int) *stream {
	return &stream{first: 1, keep: keep, grown: make(chan struct{})}
}

func (s *stream) append(data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.first + int64(len(s.entries))
	s.entries = append(s.entries, plat.Entry{Offset: offset, Data: data})
	if over := len(s.entries) - s.keep; over > 0 {
		s.entries = s.entries[over:]
		s.first += int64(over)
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// maxPage bounds the entries of one answer.
const maxPage = 1000

func (s *stream) page(from int64) (plat.Page, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := plat.Page{First: s.first, Next: s.first + int64(len(s.entries))}
	if from >= s.first && from < page.Next {
		start := int(from - s.first)
		end := min(len(s.entries), start+maxPage)
		page.Entries = append(page.Entries, s.entries[start:end]...)
	}
	return page, s.grown
}

// read returns what there is from the offset on, after waiting for something to come.
func (s *stream) read(from int64, wait time.Duration) plat.Page {
	page, grown := s.page(from)
	if len(page.Entries) > 0 || from < page.First || wait <= 0 {
		return page
	}
	select {
	case <-grown:
	case <-time.After(wait):
	}
	page, _ = s.page(from)
	return page
}
