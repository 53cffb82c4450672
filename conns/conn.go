package conns

import (
	"bufio"
	"net"
	"syscall"
)

// conn counts the bytes of the current attempt that were written to the socket; while there are none, the attempt cannot have reached the target.
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

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// isReusable reports whether an idle connection is open and holds no unread bytes.
func (c *conn) isReusable() bool {
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
	reusable := false
	err = control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// EAGAIN means that the target has neither closed the connection nor sent bytes that are still unread.
		reusable = err == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
