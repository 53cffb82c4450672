package plat

import (
	"context"
	"fmt"
	"time"
)

// Names of the streams that the project keeps in the platform's log.
const (
	// StateStream holds configuration, membership and the division of limits.
	StateStream = "state"
	// ClaimStream holds the claims of non-idempotent requests.
	ClaimStream = "claims"
)

// Log is the platform's append-only log; offsets start at one and grow by one in each stream.
type Log interface {
	// Append adds data and returns its offset; after an error it may still have taken effect.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns what the stream holds from the offset on, after waiting at most that long for something to be there.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error)
}

// Entry is one append as it is read back.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to one read.
type Page struct {
	// First is the oldest offset that is still kept.
	First int64 `json:"first"`
	// Next is the offset after the last entry of the stream when the page was made.
	Next    int64   `json:"next"`
	Entries []Entry `json:"entries"`
}

// LostError reports that the log no longer keeps the offset that a reader needs.
type LostError struct {
	Stream string
	From   int64
	First  int64
}

// Error names the stream, the offset wanted and the oldest one kept.
func (e *LostError) Error() string {
	return fmt.Sprintf("stream %s: offset %d is gone, the oldest kept is %d", e.Stream, e.From, e.First)
}

// OutageError reports that the platform gave no usable answer.
type OutageError struct {
	Operation string
	Cause     error
	Status    int
}

// Error names the operation and what came back.
func (e *OutageError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("platform %s: %v", e.Operation, e.Cause)
	}
	return fmt.Sprintf("platform %s: status %d", e.Operation, e.Status)
}

// Unwrap returns the cause, which may be nil.
func (e *OutageError) Unwrap() error { return e.Cause }
