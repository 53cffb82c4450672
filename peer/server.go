package peer

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"lavenderwing.example/lavenderwing/accept"
)

// Server answers the calls of peers.
type Server struct {
	rpc    *rpc.Server
	secret string
	bytes  *atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// NewServer returns a server that accepts peers with the secret and adds its traffic to bytes.
func NewServer(handler Handler, secret string, bytes *atomic.Int64) (*Server, error) {
	return NewReceiverServer("Peer", &rpcReceiver{handler: handler}, secret, bytes)
}

// NewReceiverServer returns a server for the methods of a net/rpc receiver, registered under the given name.
func NewReceiverServer(name string, receiver any, secret string, bytes *atomic.Int64) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), secret: secret, bytes: bytes, conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return nil, trace.Wrap(err)
	}
	return s, nil
}

// Listen starts to listen on the address.
func (s *Server) Listen(address string, opts ...accept.Option) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err, "listening on %s", address)
	}
	s.listener = accept.New(l, opts...)
	return nil
}

// Serve accepts connections until Close is called.
func (s *Server) Serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve handles the calls on a connection until it is closed; without the right handshake, it closes it at once.
func (s *Server) serve(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	if !verifyHandshake(c, s.secret) {
		return
	}
	s.rpc.ServeConn(&countingConn{Conn: c, bytes: s.bytes})
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// writeTimeout bounds a write, which waits while the other side does not read. The largest message takes less on a link of 2 Mbit/s.
const writeTimeout = time.Second

// countingConn counts the bytes that are read and written, and fails if the other side does not read.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
