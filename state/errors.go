package state

import (
	"fmt"
	"strings"
)

// ConflictError reports a record that expects a version which is no longer the current one.
type ConflictError struct {
	Row      string
	Expected int64
	Version  int64
	// ChangedBy is the operator or incarnation that set the current version, if known.
	ChangedBy string
}

// Error names the row, both versions and who set the current one.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at version %d set by %s, not at %d", e.Row, e.Version, e.ChangedBy, e.Expected)
}

// InvalidError reports a record with invalid content and holds every reason.
type InvalidError struct {
	Reasons []string
}

// Error joins all reasons.
func (e *InvalidError) Error() string { return strings.Join(e.Reasons, "; ") }

// StaleIncarnationError reports a record of an incarnation that is not the live one of its seat.
type StaleIncarnationError struct {
	Seat        string
	Incarnation string
}

// Error names the seat and the incarnation.
func (e *StaleIncarnationError) Error() string {
	return fmt.Sprintf("incarnation %s does not hold seat %s", e.Incarnation, e.Seat)
}
