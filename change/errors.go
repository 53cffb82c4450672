package change

import (
	"fmt"
	"strings"
)

// CallError reports that an entry process did not do what it was asked.
type CallError struct {
	Status  int
	Message string
	Reasons []string
	// Winner is the operator whose change came first.
	Winner string
}

// Error returns the message with all reasons.
func (e *CallError) Error() string {
	if len(e.Reasons) == 0 {
		return fmt.Sprintf("%s (status %d)", e.Message, e.Status)
	}
	return fmt.Sprintf("%s (status %d): %s", e.Message, e.Status, strings.Join(e.Reasons, "; "))
}
