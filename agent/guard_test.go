package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/work"
)

// TestPanicOnARequestEndsNoProcess guards against a request that ends the process that handles it, and then each one to which its caller or another process repeats it.
func TestPanicOnARequestEndsNoProcess(t *testing.T) {
	is := is.New(t)
	a, h := newTestAgent(t)
	a.config.Store(&configState{}) // a configuration that cannot be read
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI("/q/0000000000000001")
	a.serve(&ctx)
	is.Equal(ctx.Response.StatusCode(), fasthttp.StatusGatewayTimeout) // not a refusal, since the request may have had effects

	h.table = nil
	h.ready.Store(true)
	a.active = h
	for range 2 {
		reply := a.HandleRequest(mesh.Request{Kind: mesh.Cancel, ID: "1"})
		is.Equal(reply.Outcome, mesh.Undecided)
	}
}

// TestJobThatCannotBeHandledIsSetAside guards against a stored job that ends each process that becomes the holder.
func TestJobThatCannotBeHandledIsSetAside(t *testing.T) {
	is := is.New(t)
	_, h := newTestAgent(t)
	job := &work.Job{ID: "0000000000000001", Queue: "q", Steps: []work.Step{{Count: 1}}}
	h.mu.Lock()
	h.handleJob(job, time.Second, func() { panic("a mistake in this program") })
	h.mu.Unlock()
	is.True(h.table.Known(job.ID)) // it is not reported as unknown
	_, _, state, _ := h.lookupRecorded(job.ID)
	is.Equal(state, work.Queued)
	h.step()
	is.NoErr(h.endErr())
}

// TestReplyThatCannotBeHandledSetsItsTargetAside guards against a target whose replies end each process that becomes the holder.
func TestReplyThatCannotBeHandledSetsItsTargetAside(t *testing.T) {
	is := is.New(t)
	_, h := newTestAgent(t)
	h.table.Configure(&work.Config{Version: 1, Pools: []work.Pool{{Name: "p"}}})
	h.table.UpsertTarget(work.Target{ID: "i-1", Pool: "p", Address: "a"}, time.Second)
	is.Equal(len(h.table.Targets()), 1)
	d := newDriver(h, "i-1", "a")
	d.applyReply("reply", func() { panic("a mistake in this program") })
	is.Equal(len(h.table.Targets()), 0) // it is not called any more
	is.NoErr(h.endErr())
}
