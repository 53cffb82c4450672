package claim

import (
	"fmt"

	"github.com/google/uuid"
)

// AlreadyClaimedError reports that another claim of the same request came first.
type AlreadyClaimedError struct {
	Request uuid.UUID
	// Winner is the writer whose claim came first.
	Winner string
}

// Error returns a message with the request and the winner.
func (e *AlreadyClaimedError) Error() string {
	return fmt.Sprintf("request %s was already claimed by writer %s", e.Request, e.Winner)
}

// OutsideWindowError reports a request identifier that was issued outside the time for which claims are kept.
type OutsideWindowError struct {
	Request uuid.UUID
}

// Error returns a message with the request.
func (e *OutsideWindowError) Error() string {
	return fmt.Sprintf("request %s was issued outside the claim window", e.Request)
}
