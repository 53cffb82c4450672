package follow

import "fmt"

// FullError reports that a writer already holds as many records as it may while the log takes none.
type FullError struct {
	Stream string
	Limit  int
}

// Error names the stream and the bound.
func (e *FullError) Error() string {
	return fmt.Sprintf("stream %s: %d records are waiting to be appended", e.Stream, e.Limit)
}

// StoppedError reports that the writer stopped before the record was appended.
type StoppedError struct {
	Stream string
}

// Error names the stream.
func (e *StoppedError) Error() string { return "stream " + e.Stream + ": writer stopped" }
