package conns

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Defaults of a Pool.
const (
	defaultDialTimeout = time.Second
	defaultIdle        = 4
	defaultMaxAnswer   = 16 << 20
)

// Pool keeps connections to one target; a connection carries one request at a time and is dropped after anything unusual.
type Pool struct {
	address     string
	dial        func(address string, timeout time.Duration) (net.Conn, error)
	dialTimeout time.Duration
	maxIdle     int
	maxAnswer   int

	mu   sync.Mutex
	idle []*conn
}

// Option changes how a Pool is built.
type Option func(*Pool)

// WithDial replaces the dialer.
func WithDial(dial func(address string, timeout time.Duration) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithMaxAnswer bounds an answer's body in bytes.
func WithMaxAnswer(n int) Option { return func(p *Pool) { p.maxAnswer = n } }

// New returns a pool of connections to the target at the given address.
func New(address string, opts ...Option) *Pool {
	p := &Pool{
		address:     address,
		dial:        func(a string, timeout time.Duration) (net.Conn, error) { return net.DialTimeout("tcp", a, timeout) },
		dialTimeout: defaultDialTimeout,
		maxIdle:     defaultIdle,
		maxAnswer:   defaultMaxAnswer,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Do sends the request once and reads its answer until the deadline; the error explains every outcome but Answered.
func (p *Pool) Do(deadline time.Time, attempt string, req *fasthttp.Request, resp *fasthttp.Response) (Outcome, error) {
	c, err := p.take(deadline)
	if err != nil {
		return NotSent, err
	}
	if err := c.SetDeadline(deadline); err != nil {
		_ = c.Close()
		return NotSent, err
	}
	outcome, err := p.exchange(c, attempt, req, resp)
	if outcome == Answered || outcome == Refused {
		p.give(c, resp)
		return outcome, err
	}
	_ = c.Close()
	return outcome, err
}

func (p *Pool) exchange(c *conn, attempt string, req *fasthttp.Request, resp *fasthttp.Response) (Outcome, error) {
	c.written = 0
	req.Header.Set(HeaderAttempt, attempt)
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
	if err := p.read(c, resp); err != nil {
		return Unknown, err
	}
	if got := string(resp.Header.Peek(HeaderAttempt)); got != attempt {
		return Unknown, &MismatchError{Want: attempt, Got: got}
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable && len(resp.Header.Peek(HeaderNotRun)) > 0 {
		return Refused, nil
	}
	return Answered, nil
}

// unframed is what fasthttp calls the length of a body that ends with the connection.
const unframed = -2

func (p *Pool) read(c *conn, resp *fasthttp.Response) error {
	if err := resp.Header.Read(c.reader); err != nil {
		return err
	}
	if resp.StatusCode() == fasthttp.StatusNoContent || resp.StatusCode() == fasthttp.StatusNotModified {
		return nil
	}
	if resp.Header.ContentLength() == unframed {
		return &UnframedError{}
	}
	return resp.ReadBody(c.reader, p.maxAnswer)
}

// take returns a quiet idle connection or a new one.
func (p *Pool) take(deadline time.Time) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if c.quiet() {
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

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// give keeps a connection for the next request unless its target wants it closed or sent too much.
func (p *Pool) give(c *conn, resp *fasthttp.Response) {
	if resp.ConnectionClose() || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= p.maxIdle {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// WithSource makes connections start from the given local IP address, unless it is nil.
func WithSource(ip net.IP) Option {
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
