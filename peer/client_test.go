package peer

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/fake"
)

// TestPeerThatDoesNotReadBlocksNoCalls guards against processes that never notice that the holder stands still: a large call fills the connection to it, and the heartbeats wait for the end of that write, before their timeouts begin.
func TestPeerThatDoesNotReadBlocksNoCalls(t *testing.T) {
	is := is.New(t)
	address := fake.LoopbackAddresses(1)[0]
	l, err := net.Listen("tcp4", address)
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	c := NewClient(nil, "secret", &atomic.Int64{})
	_, err = c.connect(address)
	is.NoErr(err)
	done := make(chan error, 2)
	for _, size := range []int{64 << 20, 10} {
		go func() {
			var reply []byte
			done <- c.Call(address, "Peer.Exchange", make([]byte, size), &reply, 100*time.Millisecond)
		}()
		// The large call has begun to write before the small one comes.
		time.Sleep(200 * time.Millisecond)
	}
	for range 2 {
		select {
		case err := <-done:
			is.True(err != nil)
		case <-time.After(20 * time.Second):
			t.Fatal("a call does not return")
		}
	}
}
