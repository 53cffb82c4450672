package change

import (
	"fmt"
	"strings"
)

// CallError reports an error response of an entry process.
type CallError struct {
	Status  int
	Message string
	Reasons []string
	// ChangedBy is the operator who set the current version, if the change conflicts with it.
	ChangedBy string
}

// Error returns the message, the status code and all reasons.
func (e *CallError) Error() string {
	if len(e.Reasons) == 0 {
		return fmt.Sprintf("%s (status %d)", e.Message, e.Status)
	}
	return fmt.Sprintf("%s (status %d): %s", e.Message, e.Status, strings.Join(e.Reasons, "; "))
}
