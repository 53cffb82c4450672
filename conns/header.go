package conns

// HTTP headers of requests to targets and of their answers.
const (
	// HeaderAttempt identifies one attempt; the target repeats it in its answer.
	HeaderAttempt = "Attempt"
	// HeaderRequest identifies the request; it is the same in all its attempts.
	HeaderRequest = "Request-Id"
	// HeaderTeam names the team that sent the request.
	HeaderTeam = "Team"
	// HeaderOnce is set for requests that must not be run more than once.
	HeaderOnce = "Once"
	// HeaderRunLimit is how long the target may run the request before it aborts it, in milliseconds.
	HeaderRunLimit = "Run-Limit-Ms"
	// HeaderNotRun is set by a target that refuses a request without having run any of it.
	HeaderNotRun = "Not-Run"
)
