package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/conns"
)

// forwardTimeout bounds the time until the target's answer to a forwarded request.
const forwardTimeout = 10 * time.Second

// forward sends a request to Settings.ForwardAddress without admission, as a baseline for measuring the cost of admission.
func (n *Node) forward(ctx *fasthttp.RequestCtx) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	req.Header.SetMethod(fasthttp.MethodPost)
	// The connection pool determines the address, so the host name in the URI is only a placeholder.
	req.SetRequestURI("http://target/")
	req.Header.SetContentTypeBytes(ctx.Request.Header.ContentType())
	req.Header.Set(conns.HeaderRequest, id)
	req.SetBodyRaw(ctx.Request.Body())
	outcome, err := n.connPool(n.settings.ForwardAddress).Do(time.Now().Add(forwardTimeout), id, req, &ctx.Response)
	if outcome != conns.Answered {
		// A refusal of the target comes without an error.
		reason := outcome.String()
		if err != nil {
			reason = err.Error()
		}
		ctx.Error(reason, fasthttp.StatusBadGateway)
		return
	}
	ctx.Response.Header.Set(HeaderOutcome, OutcomeAnswered)
}
