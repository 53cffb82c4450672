package accept

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scriptedListener answers each attempt to accept a connection with the next step, and then as closed.
type scriptedListener struct {
	net.Listener
	steps []func() (net.Conn, error)
}

// Accept implements net.Listener.
func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.steps) == 0 {
		return nil, net.ErrClosed
	}
	step := l.steps[0]
	l.steps = l.steps[1:]
	return step()
}

// TestListenerOutlivesFailedAccepts guards against a server that stops serving at the first failed accept, while its process goes on and counts as ready.
func TestListenerOutlivesFailedAccepts(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer client.Close()
	fail := func() (net.Conn, error) { return nil, syscall.EMFILE }
	var l *Listener
	var recovery func()
	var reports []error
	var pauses []time.Duration
	l = New(&scriptedListener{steps: []func() (net.Conn, error){
		fail, fail, fail,
		func() (net.Conn, error) {
			is.True(l.Failing())
			// The attempt waits for a connection, so the listener works again.
			recovery()
			is.True(!l.Failing())
			return server, nil
		},
	}}, WithReport(func(err error) { reports = append(reports, err) }))
	l.pause = func(d time.Duration) { pauses = append(pauses, d) }
	l.after = func(_ time.Duration, f func()) func() bool {
		recovery = f
		return func() bool { return true }
	}
	c, err := l.Accept()
	is.NoErr(err)
	is.Equal(c, server)
	is.Equal(reports, []error{syscall.EMFILE, nil}) // one report of the failure, one of the recovery
	is.Equal(pauses, []time.Duration{minAcceptPause, 2 * minAcceptPause, 4 * minAcceptPause})
	_, err = l.Accept()
	is.Equal(err, net.ErrClosed)
}
