package stream

import "fmt"

// FullError reports that a record was not accepted because too many records are pending, which happens while the log is unavailable.
type FullError struct {
	Stream string
	Limit  int
}

// Error names the stream and the limit of pending records.
func (e *FullError) Error() string {
	return fmt.Sprintf("stream %s: %d records are waiting to be appended", e.Stream, e.Limit)
}

// StoppedError reports that the writer stopped before the record was appended.
type StoppedError struct {
	Stream string
}

// Error names the stream.
func (e *StoppedError) Error() string { return "stream " + e.Stream + ": writer stopped" }
