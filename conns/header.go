package conns

// Headers of the targets' protocol.
const (
	// HeaderAttempt identifies one try; the target echoes it with the answer.
	HeaderAttempt = "Attempt"
	// HeaderRequest is the request's identifier, the same for each try.
	HeaderRequest = "Request-Id"
	// HeaderTeam names the team that the work is for.
	HeaderTeam = "Team"
	// HeaderOnce is set for requests that must not run twice.
	HeaderOnce = "Once"
	// HeaderRunLimit is the longest run in milliseconds, after which the target stops by itself.
	HeaderRunLimit = "Run-Limit-Ms"
	// HeaderNotRun is set by a target that refuses before running anything.
	HeaderNotRun = "Not-Run"
)
