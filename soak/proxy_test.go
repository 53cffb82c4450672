package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyMode is what a proxy does with the bytes between a process and the store.
type proxyMode int32

const (
	passing proxyMode = iota
	// delaying forwards each chunk after proxyDelay.
	delaying
	// droppingReplies drops what the store sends and forwards the rest.
	droppingReplies
	// droppingAll drops what both sides send and keeps the connections open.
	droppingAll
	// resetting closes all open connections, and each new one as soon as it is accepted.
	resetting
	proxyModeCount
)

// stalling holds back what the process sends, as a network that drops packets does, and delivers it once the mode changes, unless the process has reset the connection meanwhile. It is not among the modes that are chosen at random.
const stalling = proxyModeCount

// proxyDelay is how long a delaying proxy holds back each chunk; it is much longer than the store usually takes to reply.
const proxyDelay = 150 * time.Millisecond

// proxy forwards the connections of one process to the store or the cloud, and injects network faults.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu          sync.Mutex
	connections map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, connections: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) setMode(m proxyMode) {
	p.mode.Store(int32(m))
	if m != resetting {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		_ = c.Close()
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	if proxyMode(p.mode.Load()) == resetting {
		_ = c.Close()
		return
	}
	store, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.connections[c], p.connections[store] = true, true
	p.mu.Unlock()
	go p.copy(store, c, false)
	p.copy(c, store, true)
	p.mu.Lock()
	delete(p.connections, c)
	delete(p.connections, store)
	p.mu.Unlock()
}

// stallCheckInterval is how often a stalled connection is checked for the end of the stall.
const stallCheckInterval = 20 * time.Millisecond

// hold collects what the process sends until the proxy stalls no more, and then delivers it and goes on forwarding. If the process resets the connection before, everything is dropped.
func (p *proxy) hold(to, from net.Conn, held []byte) {
	held = append([]byte(nil), held...)
	buffer := make([]byte, 32<<10)
	closed := false
	for proxyMode(p.mode.Load()) == stalling {
		if closed {
			time.Sleep(stallCheckInterval)
			continue
		}
		_ = from.SetReadDeadline(time.Now().Add(stallCheckInterval))
		n, err := from.Read(buffer)
		held = append(held, buffer[:n]...)
		var timeout net.Error
		switch {
		case errors.Is(err, io.EOF):
			closed = true
		case errors.As(err, &timeout) && timeout.Timeout():
		case err != nil:
			return
		}
	}
	_ = from.SetReadDeadline(time.Time{})
	if _, err := to.Write(held); err == nil && !closed {
		p.copy(to, from, false)
	}
}

// copy forwards bytes from one connection to the other as the mode requires; fromStore is true if the store sends them.
func (p *proxy) copy(to, from net.Conn, fromStore bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			switch m := proxyMode(p.mode.Load()); {
			case m == delaying:
				time.Sleep(proxyDelay)
			case m == stalling && !fromStore:
				p.hold(to, from, buffer[:n])
				return
			case m == droppingAll, m == droppingReplies && fromStore:
				_, _ = io.Copy(io.Discard, from)
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
