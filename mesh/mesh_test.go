package mesh

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/fake"
)

// countingHandler counts the notices that it receives.
type countingHandler struct{ notices atomic.Int64 }

func (h *countingHandler) HandleRequest(Request) Reply              { return Reply{} }
func (h *countingHandler) HandleHeartbeat(Heartbeat) HeartbeatReply { return HeartbeatReply{} }
func (h *countingHandler) HandleProbe(Probe) ProbeReply             { return ProbeReply{} }
func (h *countingHandler) HandleNotice(Notice)                      { h.notices.Add(1) }

// TestNoticeReachesARestartedPeer guards against a slow takeover: the notice of a resigning holder must not be lost because it is sent over a connection that a peer's restart has closed.
func TestNoticeReachesARestartedPeer(t *testing.T) {
	is := is.New(t)
	address := fake.LoopbackAddresses(1)[0]
	handler := &countingHandler{}
	var bytes atomic.Int64
	client := NewClient(&bytes)
	for range 3 {
		server, err := NewServer(handler, &bytes)
		is.NoErr(err)
		is.NoErr(server.Listen(address))
		go server.Serve()
		is.NoErr(client.Notify(address, Notice{Epoch: 1, Vacant: true}, 10*time.Second))
		server.Close()
	}
	is.Equal(handler.notices.Load(), int64(3))
}
