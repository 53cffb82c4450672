package claim

import (
	"fmt"

	"github.com/google/uuid"
)

// TakenError reports that another claim of the same request came first.
type TakenError struct {
	Request uuid.UUID
	// Winner is the writer whose claim came first.
	Winner string
}

// Error returns a message with the request and the winner.
func (e *TakenError) Error() string {
	return fmt.Sprintf("request %s was already claimed by writer %s", e.Request, e.Winner)
}

// AgeError reports a request identifier that was issued outside the time for which claims are kept.
type AgeError struct {
	Request uuid.UUID
}

// Error returns a message with the request.
func (e *AgeError) Error() string {
	return fmt.Sprintf("request %s was issued outside the claim window", e.Request)
}
