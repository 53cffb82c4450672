package agent

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/fake"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

// storeReply is a status and a body with which a scripted store answers one call.
type storeReply struct {
	status int
	body   string
}

// newScriptedWriter returns a writer of epoch 1 whose store gives the replies one after the other. The store's latency counts as long, so that the writer hedges an attempt only after half a second: on a busy machine, replies take more than the usual 40 ms, and a hedged attempt is none of the script's.
func newScriptedWriter(t *testing.T, is *is.I, replies ...storeReply) *fencedWriter {
	address := fake.LoopbackAddresses(1)[0]
	var mu sync.Mutex
	startServer(t, is, address, func(ctx *fasthttp.RequestCtx) {
		mu.Lock()
		defer mu.Unlock()
		if len(replies) == 0 {
			t.Error("the writer made more calls than the script has replies")
			return
		}
		ctx.SetStatusCode(replies[0].status)
		ctx.SetBodyString(replies[0].body)
		replies = replies[1:]
	})
	a, err := New(work.Settings{Node: "n", IP: "127.0.0.1", InternalPorts: [2]int{1, 2}, Store: work.StoreLimits{Address: address}})
	is.NoErr(err)
	w := &fencedWriter{agent: a, topic: jobsTopic, epoch: 1}
	w.latency.record(time.Minute)
	return w
}

// TestAppendFoundWrittenEndsTheFailure guards against a holder that refuses submissions for good: an append whose response was lost turned out to be written, and the writer still counted as failing.
func TestAppendFoundWrittenEndsTheFailure(t *testing.T) {
	is := is.New(t)
	w := newScriptedWriter(t, is, storeReply{503, ""}, storeReply{409, `{"reason":"seq","seq":1}`})
	offset, err := w.append(context.Background(), []platform.Record{{Key: "k", Value: []byte("v")}})
	is.NoErr(err)
	is.Equal(offset, int64(-1)) // the store does not tell the offset
	is.Equal(w.nextSequence, int64(1))
	is.Equal(w.failingFor().Nanoseconds(), int64(0))
	is.True(w.confirmedAt.Load() > 0) // the append shows that no later holder has fenced the partition
}

// TestForeignSequenceIsNotTakenForWritten guards against a job that is accepted and lost: if the store expects a later number than an append can account for, somebody else has appended, and the records are not written.
func TestForeignSequenceIsNotTakenForWritten(t *testing.T) {
	for name, replies := range map[string][]storeReply{
		"first attempt":    {{409, `{"reason":"seq","seq":1}`}},
		"later attempt":    {{503, ""}, {409, `{"reason":"seq","seq":5}`}},
		"response overdue": {{409, `{"reason":"seq","seq":7}`}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newScriptedWriter(t, is, replies...)
			_, err := w.append(context.Background(), []platform.Record{{Key: "k", Value: []byte("v")}})
			var sequence *platform.SequenceError
			is.True(errors.As(err, &sequence)) // the epoch ends
		})
	}
}
