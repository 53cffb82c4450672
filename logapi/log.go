package logapi

import (
	"context"
	"fmt"
	"time"
)

// Names of the log streams.
const (
	// StateStream holds the configuration, the members and the division of the teams' limits.
	StateStream = "state"
	// ClaimStream holds the claims of non-idempotent requests.
	ClaimStream = "claims"
)

// Log is the platform's append-only log; the offsets of each stream start at one and have no gaps.
type Log interface {
	// Append appends data to a stream and returns its offset; when it returns an error, the data may still have been appended.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns entries from the given offset on; if there are none yet, it waits at most the given time for one.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error)
}

// Entry is the data of one append with its offset.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of one read.
type Page struct {
	// First is the oldest offset that the log still keeps.
	First int64 `json:"first"`
	// Next is the offset after the last entry of the stream at the time of the read.
	Next    int64   `json:"next"`
	Entries []Entry `json:"entries"`
}

// OffsetOutOfRangeError reports a read from an offset that the log no longer keeps.
type OffsetOutOfRangeError struct {
	Stream string
	From   int64
	First  int64
}

// Error names the stream, the requested offset and the oldest one kept.
func (e *OffsetOutOfRangeError) Error() string {
	return fmt.Sprintf("stream %s: offset %d is gone, the oldest kept is %d", e.Stream, e.From, e.First)
}

// CallError reports a call to the platform that got no valid response.
type CallError struct {
	Operation string
	Cause     error
	Status    int
}

// Error names the operation, and the cause or the status code.
func (e *CallError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("platform %s: %v", e.Operation, e.Cause)
	}
	return fmt.Sprintf("platform %s: status %d", e.Operation, e.Status)
}

// Unwrap returns the cause, which is nil if the platform answered with an error status.
func (e *CallError) Unwrap() error { return e.Cause }
