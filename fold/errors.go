package fold

import (
	"fmt"
	"strings"
)

// StaleError reports that a record rested on a version that another writer had already replaced.
type StaleError struct {
	Row     string
	Expect  int64
	Version int64
	// Winner is the writer or operator of the version in force, where it is known.
	Winner string
}

// Error names the row, both versions and the winner.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%s is at version %d set by %s, not at %d", e.Row, e.Version, e.Winner, e.Expect)
}

// InvalidError reports every reason why a record is not acceptable.
type InvalidError struct {
	Reasons []string
}

// Error lists the reasons.
func (e *InvalidError) Error() string { return strings.Join(e.Reasons, "; ") }

// MemberError reports a record of an incarnation that no longer holds its seat.
type MemberError struct {
	Seat        string
	Incarnation string
}

// Error names the seat and the incarnation.
func (e *MemberError) Error() string {
	return fmt.Sprintf("incarnation %s does not hold seat %s", e.Incarnation, e.Seat)
}
