package claim

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"lavenderwing.example/lavenderwing/logapi"
	"lavenderwing.example/lavenderwing/record"
	"lavenderwing.example/lavenderwing/stream"
)

// MaxClockSkew is the largest tolerated difference between the clocks of callers and entry processes.
const MaxClockSkew = 30 * time.Second

// Table holds the claims of the claim stream for a window of time, measured by the writers' clocks.
type Table struct {
	window time.Duration
	writer *stream.Writer

	mu           sync.Mutex
	offset       int64
	sequences    map[string]uint64
	owners       map[uuid.UUID]string
	claimsByTime []datedClaim
	newestTimeMs int64
	// completeFromMs is the time before which claims may be missing from the table; it is 0 if no entry was skipped, and -1 from a skip to the next entry.
	completeFromMs int64
}

type datedClaim struct {
	request uuid.UUID
	timeMs  int64
}

// NewTable returns an empty table that keeps claims for the window and passes the results of each batch to the writer.
func NewTable(window time.Duration, writer *stream.Writer) *Table {
	return &Table{
		window:    window,
		writer:    writer,
		sequences: map[string]uint64{},
		owners:    map[uuid.UUID]string{},
	}
}

// NextOffset returns the offset of the next entry to read.
func (t *Table) NextOffset() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.offset + 1
}

// Len returns the number of claims in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.owners)
}

// Skip skips the entries before first, which the log no longer has. These may have held claims, so Check rejects identifiers that were issued before the next entry.
func (t *Table) Skip(first int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if first <= t.offset+1 {
		return
	}
	t.offset = first - 1
	t.completeFromMs = -1
}

// Apply applies the batch of an entry and passes the results to the writer, unless the entry or batch was applied before.
func (t *Table) Apply(e logapi.Entry, b record.Batch) {
	errs, applied := t.apply(e.Offset, b)
	if applied {
		t.writer.ReportApplied(b, errs)
	}
}

// apply applies the batch of an entry, and returns the results of its records and whether it was applied. Entries and batches that were applied before are not.
func (t *Table) apply(offset int64, b record.Batch) ([]error, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if offset <= t.offset {
		return nil, false
	}
	t.offset = offset
	if t.completeFromMs < 0 && b.TimeMs > 0 {
		t.completeFromMs = b.TimeMs
	}
	if b.Sequence <= t.sequences[b.Writer] {
		return nil, false
	}
	t.sequences[b.Writer] = b.Sequence
	t.newestTimeMs = max(t.newestTimeMs, b.TimeMs)
	errs := make([]error, len(b.Records))
	for i, r := range b.Records {
		errs[i] = t.applyRecord(b, r)
	}
	t.prune()
	return errs, true
}

func (t *Table) applyRecord(b record.Batch, r record.Record) error {
	switch r := r.(type) {
	case record.Claim:
		winner, taken := t.owners[r.Request]
		if taken {
			return &AlreadyClaimedError{Request: r.Request, Winner: winner}
		}
		t.owners[r.Request] = b.Writer
		t.claimsByTime = append(t.claimsByTime, datedClaim{request: r.Request, timeMs: b.TimeMs})
	case record.Unclaim:
		if t.owners[r.Request] == b.Writer {
			delete(t.owners, r.Request)
		}
	}
	return nil
}

// prune removes claims older than the window plus twice the clock skew. Check rejects repeats of these requests by the age of their identifiers.
func (t *Table) prune() {
	oldestMs := t.newestTimeMs - (t.window + 2*MaxClockSkew).Milliseconds()
	n := 0
	for n < len(t.claimsByTime) && t.claimsByTime[n].timeMs < oldestMs {
		delete(t.owners, t.claimsByTime[n].request)
		n++
	}
	t.claimsByTime = t.claimsByTime[n:]
}

// Check returns an *OutsideWindowError if a claim of the request may be missing from the table, and an *AlreadyClaimedError if the request is claimed.
func (t *Table) Check(request uuid.UUID, now time.Time) error {
	issued := IssuedAt(request)
	t.mu.Lock()
	defer t.mu.Unlock()
	if issued.Before(now.Add(-t.window)) || issued.After(now.Add(MaxClockSkew)) {
		return &OutsideWindowError{Request: request}
	}
	if t.completeFromMs != 0 && (t.completeFromMs < 0 || issued.UnixMilli() < t.completeFromMs+MaxClockSkew.Milliseconds()) {
		return &OutsideWindowError{Request: request}
	}
	if winner, taken := t.owners[request]; taken {
		return &AlreadyClaimedError{Request: request, Winner: winner}
	}
	return nil
}

// IssuedAt returns the timestamp of a version 7 UUID.
func IssuedAt(request uuid.UUID) time.Time {
	var ms int64
	for _, b := range request[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}
