package fake

import (
	"sync"
	"time"

	"lavenderwing.example/lavenderwing/logapi"
)

// stream is an append-only sequence of entries that retains only the newest ones.
type stream struct {
	mu          sync.Mutex
	firstOffset int64
	entries     []logapi.Entry
	maxEntries  int
	appended    chan struct{}
}

func newStream(maxEntries int) *stream {
	return &stream{firstOffset: 1, maxEntries: maxEntries, appended: make(chan struct{})}
}

func (s *stream) append(data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.firstOffset + int64(len(s.entries))
	s.entries = append(s.entries, logapi.Entry{Offset: offset, Data: data})
	if over := len(s.entries) - s.maxEntries; over > 0 {
		s.entries = s.entries[over:]
		s.firstOffset += int64(over)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// maxPageEntries bounds the number of entries in one answer.
const maxPageEntries = 1000

// readPage returns the retained entries from the offset on, and a channel that is closed by the next append.
func (s *stream) readPage(from int64) (logapi.Page, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := logapi.Page{First: s.firstOffset, Next: s.firstOffset + int64(len(s.entries))}
	if from >= s.firstOffset && from < page.Next {
		start := int(from - s.firstOffset)
		end := min(len(s.entries), start+maxPageEntries)
		page.Entries = append(page.Entries, s.entries[start:end]...)
	}
	return page, s.appended
}

// read returns the retained entries from the offset on. If there are none yet, it first waits for an append, at most for
// the given time.
func (s *stream) read(from int64, wait time.Duration) logapi.Page {
	page, appended := s.readPage(from)
	if len(page.Entries) > 0 || from < page.First || wait <= 0 {
		return page
	}
	select {
	case <-appended:
	case <-time.After(wait):
	}
	page, _ = s.readPage(from)
	return page
}
