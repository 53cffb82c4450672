package conns

import "fmt"

// AttemptMismatchError reports an answer that carries the identifier of another attempt.
type AttemptMismatchError struct {
	Want string
	Got  string
}

// Error names both attempts.
func (e *AttemptMismatchError) Error() string {
	return fmt.Sprintf("received the answer to attempt %q for attempt %q", e.Got, e.Want)
}

// UnframedError reports an answer whose body ends when the connection is closed, so that a truncated body cannot be detected.
type UnframedError struct{}

// Error describes what the answer lacks.
func (e *UnframedError) Error() string { return "answer has neither a length nor chunks" }
