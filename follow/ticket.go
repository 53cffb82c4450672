package follow

import (
	"slices"

	"lavenderwing.example/lavenderwing/record"
)

// Ticket is a submitted record whose verdict is still open.
type Ticket struct {
	writer *Writer
	record record.Record
	done   func(error)
	taken  bool
}

// Cancel withdraws the record, and returns false when it was already taken into a batch and may take effect.
func (t *Ticket) Cancel() bool {
	w := t.writer
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.taken {
		return false
	}
	w.pending = slices.DeleteFunc(w.pending, func(p *Ticket) bool { return p == t })
	t.taken = true
	return true
}
