package agent

import (
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

// TestJobBeyondOnePageIsNotReportedUnknown guards against an accepted job that is answered with 410, because the holder reads one page of the jobs that were stored without it and takes that for all.
func TestJobBeyondOnePageIsNotReportedUnknown(t *testing.T) {
	is := is.New(t)
	const id = "00000000000000a1"
	pages := map[string]platform.Record{}
	for n, key := range []string{"00000000000000a0", id} {
		job, err := work.Encode(&work.Job{ID: work.JobID(key), Queue: "q", Pool: "pool", Steps: []work.Step{{Count: 1}}})
		is.NoErr(err)
		pages[string(rune('0'+n))] = platform.Record{Key: key, Value: job}
	}
	address := fake.LoopbackAddresses(1)[0]
	startServer(t, is, address, func(ctx *fasthttp.RequestCtx) {
		if r, ok := pages[string(ctx.QueryArgs().Peek("from"))]; ok {
			ctx.SetBody(readPage(2, r))
			return
		}
		ctx.SetBody(readPage(2))
	})
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{Address: address}})
	is.NoErr(err)
	h := newHolder(a, 1)
	_, refusal, ok := h.lookup(mesh.Request{Kind: mesh.Status, ID: id})
	is.True(ok) // the job is known
	is.Equal(refusal.Outcome, mesh.Answered)
}
