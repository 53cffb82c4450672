package stream

import (
	"slices"

	"lavenderwing.example/lavenderwing/record"
)

// Submission is a submitted record that has not been applied yet.
type Submission struct {
	writer   *Writer
	record   record.Record
	done     func(error)
	dequeued bool
}

// Cancel withdraws the record; it returns false if the record is already in a batch and may still take effect.
func (s *Submission) Cancel() bool {
	w := s.writer
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.dequeued {
		return false
	}
	w.pending = slices.DeleteFunc(w.pending, func(p *Submission) bool { return p == s })
	s.dequeued = true
	return true
}
