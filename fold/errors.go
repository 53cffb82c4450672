package fold

import (
	"fmt"
	"strings"
)

// StaleError reports a record that expects a version which is no longer the current one.
type StaleError struct {
	Row     string
	Expect  int64
	Version int64
	// Winner is the operator or incarnation that set the current version, if known.
	Winner string
}

// Error names the row, both versions and who set the current one.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%s is at version %d set by %s, not at %d", e.Row, e.Version, e.Winner, e.Expect)
}

// InvalidError reports a record with invalid content, with every reason.
type InvalidError struct {
	Reasons []string
}

// Error joins all reasons.
func (e *InvalidError) Error() string { return strings.Join(e.Reasons, "; ") }

// MemberError reports a record of an incarnation that is not the live one of its seat.
type MemberError struct {
	Seat        string
	Incarnation string
}

// Error names the seat and the incarnation.
func (e *MemberError) Error() string {
	return fmt.Sprintf("incarnation %s does not hold seat %s", e.Incarnation, e.Seat)
}
