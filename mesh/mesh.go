package mesh

import (
	"errors"
	"io"
	"net/rpc"
	"sync/atomic"
	"time"

	"lavenderwing.example/lavenderwing/peer"
)

// receiverName is the name of the net/rpc receiver.
const receiverName = "Mesh"

// receiver carries the methods that net/rpc calls.
type receiver struct{ handler Handler }

// Ask answers a caller's request.
func (r *receiver) Ask(q *Request, reply *Reply) error {
	*reply = r.handler.HandleRequest(*q)
	return nil
}

// Beat answers a heartbeat.
func (r *receiver) Beat(b *Heartbeat, reply *HeartbeatReply) error {
	*reply = r.handler.HandleHeartbeat(*b)
	return nil
}

// Sight answers a question for a holder.
func (r *receiver) Sight(s *Probe, reply *ProbeReply) error {
	*reply = r.handler.HandleProbe(*s)
	return nil
}

// News takes news of a holder.
func (r *receiver) News(n *Notice, _ *NoticeReply) error {
	r.handler.HandleNotice(*n)
	return nil
}

// NewServer returns a server of the handler's answers.
func NewServer(h Handler, bytes *atomic.Int64) (*peer.Server, error) {
	return peer.NewReceiverServer(receiverName, &receiver{handler: h}, "", bytes)
}

// Client calls other processes.
type Client struct{ peers *peer.Client }

// NewClient returns a client that counts its bytes.
func NewClient(bytes *atomic.Int64) *Client { return &Client{peers: peer.NewClient(nil, "", bytes)} }

// Ask sends a question to the process at the address.
func (c *Client) Ask(address string, q Request, wait time.Duration) (Reply, error) {
	var r Reply
	err := c.peers.Call(address, receiverName+".Ask", &q, &r, wait)
	return r, err
}

// SendHeartbeat sends a heartbeat to the process at the address.
func (c *Client) SendHeartbeat(address string, b Heartbeat, wait time.Duration) (HeartbeatReply, error) {
	var r HeartbeatReply
	err := c.again(address, receiverName+".Beat", &b, &r, wait)
	return r, err
}

// Probe asks the process at the address for its view of a holder.
func (c *Client) Probe(address string, s Probe, wait time.Duration) (ProbeReply, error) {
	var r ProbeReply
	err := c.again(address, receiverName+".Sight", &s, &r, wait)
	return r, err
}

// Notify tells the process at the address of a holder.
func (c *Client) Notify(address string, n Notice, wait time.Duration) error {
	var r NoticeReply
	return c.again(address, receiverName+".News", &n, &r, wait)
}

// again makes a call that does no harm twice, and makes it once more where the connection turns out to be that of an earlier life of the peer.
func (c *Client) again(address, method string, args, reply any, wait time.Duration) error {
	err := c.peers.Call(address, method, args, reply, wait)
	if errors.Is(err, rpc.ErrShutdown) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = c.peers.Call(address, method, args, reply, wait)
	}
	return err
}
