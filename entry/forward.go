package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/conns"
)

// forwardWait bounds one forwarded request.
const forwardWait = 10 * time.Second

// forward sends a request to the one target of the settings without deciding anything, which is what the cost of decisions is compared with.
func (n *Node) forward(ctx *fasthttp.RequestCtx) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://target/")
	req.Header.SetContentTypeBytes(ctx.Request.Header.ContentType())
	req.Header.Set(conns.HeaderRequest, id)
	req.SetBodyRaw(ctx.Request.Body())
	outcome, err := n.pool(n.settings.ForwardAddress).Do(time.Now().Add(forwardWait), id, req, &ctx.Response)
	if outcome != conns.Answered {
		ctx.Error(err.Error(), fasthttp.StatusBadGateway)
		return
	}
	ctx.Response.Header.Set(HeaderOutcome, OutcomeAnswered)
}
