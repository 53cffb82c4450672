package accept

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// Pauses between attempts to accept a connection after a failed one, and the time after which an attempt that has not failed counts as a recovery.
const (
	minAcceptPause     = 5 * time.Millisecond
	maxAcceptPause     = time.Second
	acceptRecoveryTime = 100 * time.Millisecond
)

// Listener accepts connections on after failed attempts, such as those of a process that has used up its file descriptors.
type Listener struct {
	net.Listener
	failing atomic.Bool
	report  func(err error)
	pause   func(time.Duration)
	// after calls a function after a time, unless the function that it returns is called before.
	after func(time.Duration, func()) (stop func() bool)
}

// Option configures a Listener.
type Option func(*Listener)

// WithReport sets a function that is called with the error when attempts begin to fail, and with nil when connections are accepted again.
func WithReport(report func(err error)) Option {
	return func(l *Listener) { l.report = report }
}

// New returns a listener that accepts the connections of another one.
func New(inner net.Listener, opts ...Option) *Listener {
	l := &Listener{
		Listener: inner, report: func(error) {}, pause: time.Sleep,
		after: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Failing reports whether no connection can be accepted at present.
func (l *Listener) Failing() bool { return l.failing.Load() }

// Accept returns the next connection. It fails only once the listener has been closed.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		c, err := l.accept()
		switch {
		case err == nil:
			l.setFailing(nil)
			return c, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		}
		l.setFailing(err)
		l.pause(pause)
	}
}

// accept makes one attempt. After failed ones it counts as a recovery if it only waits for a connection, because none may come before the listener is known to work.
func (l *Listener) accept() (net.Conn, error) {
	if l.failing.Load() {
		stop := l.after(acceptRecoveryTime, func() { l.setFailing(nil) })
		defer stop()
	}
	return l.Listener.Accept()
}

// setFailing sets the error of the last attempt, nil for none, and reports a change between failure and success.
func (l *Listener) setFailing(err error) {
	if l.failing.Swap(err != nil) != (err != nil) {
		l.report(err)
	}
}
