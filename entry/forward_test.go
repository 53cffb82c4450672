package entry

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/conns"
)

// TestForwardedRefusal guards against a target's refusal that ends the process: it comes without an error, and the handler asked that error for its text.
func TestForwardedRefusal(t *testing.T) {
	is := is.New(t)
	address := freeAddress()
	listener, err := net.Listen("tcp4", address)
	is.NoErr(err)
	target := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(conns.HeaderAttempt, string(ctx.Request.Header.Peek(conns.HeaderAttempt)))
		ctx.Response.Header.Set(conns.HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}}
	go func() { _ = target.Serve(listener) }()
	defer func() { _ = target.Shutdown() }()

	n := New(Settings{ForwardAddress: address}, nil, nil)
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(&fasthttp.Request{}, nil, nil)
	n.forward(ctx)
	is.Equal(ctx.Response.StatusCode(), fasthttp.StatusBadGateway)
	is.Equal(string(ctx.Response.Body()), "refused")
}
