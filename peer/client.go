package peer

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// dialTimeout bounds how long connecting to a peer may take.
const dialTimeout = 300 * time.Millisecond

// Client calls peers; it keeps one connection to each.
type Client struct {
	source net.IP
	secret string
	bytes  *atomic.Int64

	mu      sync.Mutex
	clients map[string]*rpc.Client
}

// NewClient returns a client that connects from the source address, unless it is nil, and adds its traffic to bytes.
func NewClient(source net.IP, secret string, bytes *atomic.Int64) *Client {
	return &Client{source: source, secret: secret, bytes: bytes, clients: map[string]*rpc.Client{}}
}

// Exchange sends a report to the peer at the seat and returns its reply.
func (c *Client) Exchange(seat string, args ExchangeArgs, timeout time.Duration) (ExchangeReply, error) {
	var reply ExchangeReply
	err := c.Call(seat, methodExchange, &args, &reply, timeout)
	return reply, err
}

// Since requests entries of the state stream from the peer at the seat.
func (c *Client) Since(seat string, args SinceArgs, timeout time.Duration) (SinceReply, error) {
	var reply SinceReply
	err := c.Call(seat, methodSince, &args, &reply, timeout)
	return reply, err
}

// Events requests events from the peer at the seat.
func (c *Client) Events(seat string, args EventsArgs, timeout time.Duration) (EventsReply, error) {
	var reply EventsReply
	err := c.Call(seat, methodEvents, &args, &reply, timeout)
	return reply, err
}

// Answer requests the stored answer to a request from the peer at the seat.
func (c *Client) Answer(seat string, args AnswerArgs, timeout time.Duration) (AnswerReply, error) {
	var reply AnswerReply
	err := c.Call(seat, methodAnswer, &args, &reply, timeout)
	return reply, err
}

// Call makes one call and waits at most the given time for the reply; after an *UnreachableError it is certain that the peer did not receive the call.
func (c *Client) Call(seat, method string, args, reply any, timeout time.Duration) error {
	client, err := c.connect(seat)
	if err != nil {
		return err
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		if call.Error != nil {
			c.drop(seat, client)
		}
		return call.Error
	case <-timer.C:
		// Closing the connection ends the call, so that a late reply is not written into the caller's value.
		c.drop(seat, client)
		<-call.Done
		return &TimeoutError{Seat: seat}
	}
}

// connect returns the open connection to a peer or opens one. It dials without holding the lock, so that an
// unresponsive peer does not delay calls to other peers. If two calls dial at the same time, the second connection is
// closed.
func (c *Client) connect(seat string) (*rpc.Client, error) {
	if client := c.openClient(seat); client != nil {
		return client, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	if c.source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.source}
	}
	conn, err := dialer.Dial("tcp", seat)
	if err != nil {
		return nil, trace.Wrap(&UnreachableError{Seat: seat, Cause: err})
	}
	if _, err := conn.Write(handshake(c.secret)); err != nil {
		_ = conn.Close()
		return nil, trace.Wrap(&UnreachableError{Seat: seat, Cause: err})
	}
	client := rpc.NewClient(&countingConn{Conn: conn, bytes: c.bytes})
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.clients[seat]; other != nil {
		_ = client.Close()
		return other, nil
	}
	c.clients[seat] = client
	return client, nil
}

func (c *Client) openClient(seat string) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clients[seat]
}

// drop closes the connection, so that the next call to the peer opens a new one.
func (c *Client) drop(seat string, client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[seat] == client {
		delete(c.clients, seat)
	}
	_ = client.Close()
}
