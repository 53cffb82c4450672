package peer

import (
	"errors"
	"fmt"
	"syscall"
)

// TimeoutError reports a peer that did not answer in time.
type TimeoutError struct {
	Seat string
}

// Error names the peer.
func (e *TimeoutError) Error() string { return fmt.Sprintf("peer %s did not answer in time", e.Seat) }

// UnreachableError reports that no connection to a peer could be opened, so that it did not receive the call.
type UnreachableError struct {
	Seat  string
	Cause error
}

// Error names the peer and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("connecting to peer %s: %v", e.Seat, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// IsConnectionRefused reports whether the connection was refused, which means that the peer's process has ended or that a network partition rejects connections to it.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
