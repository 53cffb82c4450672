package follow

import (
	"slices"

	"lavenderwing.example/lavenderwing/record"
)

// Ticket is a submitted record that has not been applied yet.
type Ticket struct {
	writer   *Writer
	record   record.Record
	done     func(error)
	dequeued bool
}

// Cancel withdraws the record; it returns false if the record is already in a batch and may still take effect.
func (t *Ticket) Cancel() bool {
	w := t.writer
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.dequeued {
		return false
	}
	w.pending = slices.DeleteFunc(w.pending, func(p *Ticket) bool { return p == t })
	t.dequeued = true
	return true
}
