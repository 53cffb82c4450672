package conns

import (
	"bufio"
	"net"
	"syscall"
)

// conn counts the bytes that the kernel accepted, to tell whether a try reached the target.
type conn struct {
	net.Conn
	written int
	reader  *bufio.Reader
	writer  *bufio.Writer
}

func newConn(c net.Conn) *conn {
	wrapped := &conn{Conn: c}
	wrapped.reader = bufio.NewReader(c)
	wrapped.writer = bufio.NewWriter(wrapped)
	return wrapped
}

// Write passes data on and counts it.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// quiet reports whether an idle connection is open and holds no unread bytes.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
