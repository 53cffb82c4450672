package soak

import (
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

// proxyDelay is how long a delaying proxy holds back each chunk; it is much longer than the store usually takes to reply.
const proxyDelay = 150 * time.Millisecond

// proxy forwards the connections of one process to the store, and injects network faults.
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
