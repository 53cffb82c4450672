package mesh

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/stand"
)

// listener counts the news that it gets.
type listener struct{ news atomic.Int64 }

func (l *listener) HandleRequest(Request) Reply { return Reply{} }
func (l *listener) HandleHeartbeat(Heartbeat) HeartbeatReply   { return HeartbeatReply{} }
func (l *listener) HandleProbe(Probe) ProbeReply   { return ProbeReply{} }
func (l *listener) HandleNotice(Notice)          { l.news.Add(1) }

// TestNewsReachAPeerThatWasStartedAgain checks that a connection to an earlier life of a peer does not swallow the word of a holder that stops.
func TestNewsReachAPeerThatWasStartedAgain(t *testing.T) {
	is := is.New(t)
	address := stand.LoopbackAddresses(1)[0]
	heard := &listener{}
	var bytes atomic.Int64
	client := NewClient(&bytes)
	for range 3 {
		server, err := NewServer(heard, &bytes)
		is.NoErr(err)
		is.NoErr(server.Listen(address))
		go server.Serve()
		is.NoErr(client.Notify(address, Notice{Epoch: 1, Vacant: true}, 10*time.Second))
		server.Close()
	}
	is.Equal(heard.news.Load(), int64(3))
}
