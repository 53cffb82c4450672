package conns

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Defaults of a Pool.
const (
	defaultDialTimeout  = time.Second
	defaultMaxIdle      = 4
	defaultMaxBodyBytes = 16 << 20
)

// Pool keeps connections to one target; a connection is reused only after the complete answer to its last attempt was read.
type Pool struct {
	address      string
	dial         func(address string, timeout time.Duration) (net.Conn, error)
	dialTimeout  time.Duration
	maxIdle      int
	maxBodyBytes int

	mu        sync.Mutex
	idleConns []*conn
}

// Option configures a Pool.
type Option func(*Pool)

// WithDial sets the function that opens connections.
func WithDial(dial func(address string, timeout time.Duration) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithMaxBodyBytes sets the maximum size of an answer's body in bytes.
func WithMaxBodyBytes(n int) Option { return func(p *Pool) { p.maxBodyBytes = n } }

// NewPool returns a pool of connections to the target at the given address.
func NewPool(address string, opts ...Option) *Pool {
	p := &Pool{
		address:      address,
		dial:         func(a string, timeout time.Duration) (net.Conn, error) { return net.DialTimeout("tcp", a, timeout) },
		dialTimeout:  defaultDialTimeout,
		maxIdle:      defaultMaxIdle,
		maxBodyBytes: defaultMaxBodyBytes,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Do makes one attempt, identified by attemptID, to send the request and read the answer before the deadline; the error explains the outcomes NotSent and Unknown.
func (p *Pool) Do(deadline time.Time, attemptID string, req *fasthttp.Request, resp *fasthttp.Response) (Outcome, error) {
	c, err := p.acquire(deadline)
	if err != nil {
		return NotSent, err
	}
	if err := c.SetDeadline(deadline); err != nil {
		_ = c.Close()
		return NotSent, err
	}
	outcome, err := p.roundTrip(c, attemptID, req, resp)
	if outcome == Answered || outcome == Refused {
		p.release(c, resp)
		return outcome, err
	}
	_ = c.Close()
	return outcome, err
}

func (p *Pool) roundTrip(c *conn, attemptID string, req *fasthttp.Request, resp *fasthttp.Response) (Outcome, error) {
	c.written = 0
	req.Header.Set(HeaderAttempt, attemptID)
	err := req.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil && c.written == 0 {
		return NotSent, err
	}
	if err != nil {
		return Unknown, err
	}
	if err := p.readResponse(c, resp); err != nil {
		return Unknown, err
	}
	if got := string(resp.Header.Peek(HeaderAttempt)); got != attemptID {
		return Unknown, &AttemptMismatchError{Want: attemptID, Got: got}
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable && len(resp.Header.Peek(HeaderNotRun)) > 0 {
		return Refused, nil
	}
	return Answered, nil
}

// contentLengthUntilClose is the content length that fasthttp reports for a body that ends when the connection is closed.
const contentLengthUntilClose = -2

func (p *Pool) readResponse(c *conn, resp *fasthttp.Response) error {
	if err := resp.Header.Read(c.reader); err != nil {
		return err
	}
	if resp.StatusCode() == fasthttp.StatusNoContent || resp.StatusCode() == fasthttp.StatusNotModified {
		return nil
	}
	if resp.Header.ContentLength() == contentLengthUntilClose {
		return &UnframedError{}
	}
	return resp.ReadBody(c.reader, p.maxBodyBytes)
}

// acquire returns a reusable idle connection or opens a new one.
func (p *Pool) acquire(deadline time.Time) (*conn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		if c.isReusable() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dial(p.address, min(p.dialTimeout, time.Until(deadline)))
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idleConns)
	if n == 0 {
		return nil
	}
	c := p.idleConns[n-1]
	p.idleConns = p.idleConns[:n-1]
	return c
}

// release keeps a connection for the next request. It closes the connection if the target asked for that or has sent more than the answer, or if maxIdle connections are kept already.
func (p *Pool) release(c *conn, resp *fasthttp.Response) {
	if resp.ConnectionClose() || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idleConns) >= p.maxIdle {
		_ = c.Close()
		return
	}
	p.idleConns = append(p.idleConns, c)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idleConns {
		_ = c.Close()
	}
	p.idleConns = nil
}

// WithSourceIP sets the local IP address from which connections are opened, unless it is nil.
func WithSourceIP(ip net.IP) Option {
	return func(p *Pool) {
		if ip == nil {
			return
		}
		p.dial = func(address string, timeout time.Duration) (net.Conn, error) {
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}, Timeout: timeout}
			return dialer.Dial("tcp", address)
		}
	}
}
