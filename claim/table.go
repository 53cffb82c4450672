package claim

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"lavenderwing.example/lavenderwing/follow"
	"lavenderwing.example/lavenderwing/plat"
	"lavenderwing.example/lavenderwing/record"
)

// MaxClockSkew is the most that clocks of callers and entry processes may differ.
const MaxClockSkew = 30 * time.Second

// Table folds the claim stream; it keeps each claim for a window of the writers' time.
type Table struct {
	window time.Duration
	writer *follow.Writer

	mu        sync.Mutex
	offset    int64
	sequences map[string]uint64
	owners    map[uuid.UUID]string
	order     []dated
	newestMs  int64
	// floorMs is the time before which claims may be missing from the table.
	floorMs int64
}

type dated struct {
	request uuid.UUID
	timeMs  int64
}

// NewTable returns a table that starts reading at the given offset and tells the writer of its verdicts.
func NewTable(window time.Duration, writer *follow.Writer) *Table {
	return &Table{
		window:    window,
		writer:    writer,
		sequences: map[string]uint64{},
		owners:    map[uuid.UUID]string{},
	}
}

// NextOffset returns the offset to read next.
func (t *Table) NextOffset() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.offset + 1
}

// Len returns the number of claims kept.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.owners)
}

// Skip moves past entries that the log no longer keeps; identifiers issued before the next entry are then out of the window.
func (t *Table) Skip(first int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if first <= t.offset+1 {
		return
	}
	t.offset = first - 1
	t.floorMs = -1
}

// Apply applies one batch.
func (t *Table) Apply(e plat.Entry, b record.Batch) {
	errs, fresh := t.apply(e.Offset, b)
	if fresh {
		t.writer.ReportApplied(b, errs)
	}
}

func (t *Table) apply(offset int64, b record.Batch) ([]error, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if offset <= t.offset {
		return nil, false
	}
	t.offset = offset
	if t.floorMs < 0 && b.TimeMs > 0 {
		t.floorMs = b.TimeMs
	}
	if b.Sequence <= t.sequences[b.Writer] {
		return nil, false
	}
	t.sequences[b.Writer] = b.Sequence
	t.newestMs = max(t.newestMs, b.TimeMs)
	errs := make([]error, len(b.Records))
	for i, r := range b.Records {
		errs[i] = t.record(b, r)
	}
	t.prune()
	return errs, true
}

func (t *Table) record(b record.Batch, r record.Record) error {
	switch r := r.(type) {
	case record.Claim:
		winner, taken := t.owners[r.Request]
		if taken {
			return &AlreadyClaimedError{Request: r.Request, Winner: winner}
		}
		t.owners[r.Request] = b.Writer
		t.order = append(t.order, dated{request: r.Request, timeMs: b.TimeMs})
	case record.Unclaim:
		if t.owners[r.Request] == b.Writer {
			delete(t.owners, r.Request)
		}
	}
	return nil
}

// prune drops claims older than the window and the clock skew, which Check no longer lets in.
func (t *Table) prune() {
	keep := t.newestMs - (t.window + 2*MaxClockSkew).Milliseconds()
	n := 0
	for n < len(t.order) && t.order[n].timeMs < keep {
		delete(t.owners, t.order[n].request)
		n++
	}
	t.order = t.order[n:]
}

// Check returns an *AgeError when a claim of the request could be missing from the table, and a *TakenError when it is known.
func (t *Table) Check(request uuid.UUID, now time.Time) error {
	issued := IssuedAt(request)
	t.mu.Lock()
	defer t.mu.Unlock()
	if issued.Before(now.Add(-t.window)) || issued.After(now.Add(MaxClockSkew)) {
		return &OutsideWindowError{Request: request}
	}
	if t.floorMs != 0 && (t.floorMs < 0 || issued.UnixMilli() < t.floorMs+MaxClockSkew.Milliseconds()) {
		return &OutsideWindowError{Request: request}
	}
	if winner, taken := t.owners[request]; taken {
		return &AlreadyClaimedError{Request: request, Winner: winner}
	}
	return nil
}

// IssuedAt returns the time inside a version 7 identifier.
func IssuedAt(request uuid.UUID) time.Time {
	var ms int64
	for _, b := range request[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}
