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

// receiver has the methods that net/rpc calls; their names are part of the protocol.
type receiver struct{ handler Handler }

// Ask passes a caller's request to the handler.
func (r *receiver) Ask(request *Request, reply *Reply) error {
	*reply = r.handler.HandleRequest(*request)
	return nil
}

// Beat passes a heartbeat to the handler.
func (r *receiver) Beat(heartbeat *Heartbeat, reply *HeartbeatReply) error {
	*reply = r.handler.HandleHeartbeat(*heartbeat)
	return nil
}

// Sight passes a probe to the handler.
func (r *receiver) Sight(probe *Probe, reply *ProbeReply) error {
	*reply = r.handler.HandleProbe(*probe)
	return nil
}

// News passes a notice to the handler.
func (r *receiver) News(notice *Notice, _ *NoticeReply) error {
	r.handler.HandleNotice(*notice)
	return nil
}

// NewServer returns a server that passes calls to the handler and counts the bytes it sends and receives.
func NewServer(h Handler, bytes *atomic.Int64) (*peer.Server, error) {
	return peer.NewReceiverServer(receiverName, &receiver{handler: h}, "", bytes)
}

// Client calls other processes.
type Client struct{ peers *peer.Client }

// NewClient returns a client that counts the bytes it sends and receives.
func NewClient(bytes *atomic.Int64) *Client { return &Client{peers: peer.NewClient(nil, "", bytes)} }

// Ask sends a caller's request to the process at the address.
func (c *Client) Ask(address string, request Request, timeout time.Duration) (Reply, error) {
	var r Reply
	err := c.peers.Call(address, receiverName+".Ask", &request, &r, timeout)
	return r, err
}

// SendHeartbeat sends a heartbeat to the process at the address.
func (c *Client) SendHeartbeat(address string, heartbeat Heartbeat, timeout time.Duration) (HeartbeatReply, error) {
	var r HeartbeatReply
	err := c.callIdempotent(address, receiverName+".Beat", &heartbeat, &r, timeout)
	return r, err
}

// Probe asks the process at the address when it last heard a holder.
func (c *Client) Probe(address string, probe Probe, timeout time.Duration) (ProbeReply, error) {
	var r ProbeReply
	err := c.callIdempotent(address, receiverName+".Sight", &probe, &r, timeout)
	return r, err
}

// Notify tells the process at the address about a new or resigning holder.
func (c *Client) Notify(address string, notice Notice, timeout time.Duration) error {
	var r NoticeReply
	return c.callIdempotent(address, receiverName+".News", &notice, &r, timeout)
}

// callIdempotent makes a call that may be repeated safely. It retries the call once if the connection turns out to be closed, as it does after a restart of the peer.
func (c *Client) callIdempotent(address, method string, args, reply any, timeout time.Duration) error {
	err := c.peers.Call(address, method, args, reply, timeout)
	if errors.Is(err, rpc.ErrShutdown) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = c.peers.Call(address, method, args, reply, timeout)
	}
	return err
}
