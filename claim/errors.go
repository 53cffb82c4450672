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

// Error names the request and the winner.
func (e *AlreadyClaimedError) Error() string {
	return fmt.Sprintf("request %s was claimed by %s", e.Request, e.Winner)
}

// OutsideWindowError reports an identifier issued outside the time for which claims are kept.
type OutsideWindowError struct {
	Request uuid.UUID
}

// Error names the request.
func (e *OutsideWindowError) Error() string {
	return fmt.Sprintf("request %s was issued outside the claim window", e.Request)
}
