package entry

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Headers of the callers' interface.
const (
	// HeaderOutcome is answered, notRun or unknown.
	HeaderOutcome = "Outcome"
	// HeaderIdempotent marks requests that may run more than once.
	HeaderIdempotent = "Idempotent"
	// HeaderRequestID is the caller's identifier of the request.
	HeaderRequestID = "Request-Id"
	// HeaderTimeout is the most milliseconds that the caller waits.
	HeaderTimeout = "Timeout-Ms"
)

// Outcomes that a caller is told.
const (
	// OutcomeAnswered comes with the target's whole answer.
	OutcomeAnswered = "answered"
	// OutcomeNotRun says that no target ran any of the request.
	OutcomeNotRun = "notRun"
	// OutcomeUnknown says that a target may have run the request.
	OutcomeUnknown = "unknown"
)

// refusal is every reply to a caller that is not a target's answer.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	Request string `json:"requestId,omitempty"`
	// RetryAfterMs is set where waiting helps.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`

	status int
}

// Error returns the reason and the message.
func (r *refusal) Error() string { return r.Reason + ": " + r.Message }

func notRun(status int, reason, message string) *refusal {
	return &refusal{Outcome: OutcomeNotRun, Reason: reason, Message: message, status: status}
}

func unknown(reason, message string) *refusal {
	return &refusal{Outcome: OutcomeUnknown, Reason: reason, Message: message, status: fasthttp.StatusBadGateway}
}

// withStatus returns a copy with another HTTP status.
func (r refusal) withStatus(status int) *refusal {
	r.status = status
	return &r
}

// withRetry returns a copy that tells the caller when to come back.
func (r refusal) withRetry(after time.Duration) *refusal {
	r.RetryAfterMs = after.Milliseconds()
	return &r
}

func (r *refusal) write(ctx *fasthttp.RequestCtx) {
	ctx.Response.Reset()
	if r.RetryAfterMs > 0 {
		seconds := (time.Duration(r.RetryAfterMs)*time.Millisecond + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	ctx.Response.Header.Set(HeaderOutcome, r.Outcome)
	writeJSON(ctx, r.status, r)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
