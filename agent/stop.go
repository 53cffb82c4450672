package agent

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Timing of a graceful stop, within the platform's grace of some seconds.
const (
	// stopLinger is how long open connections are served after the balancer was told: it notices after two looks a second apart.
	stopLinger = 2500 * time.Millisecond
	// stopLongest is the share of the grace after which the process ends even if requests are under way.
	stopLongest = 0.75
	stopLook    = 50 * time.Millisecond
)

// stop hands the scheduling over, tells the balancer and serves what is under way.
func (a *Agent) stop() {
	began := a.clock.Now()
	a.stopping.Store(true)
	if h := a.current(); h != nil {
		h.resign()
	}
	for {
		time.Sleep(stopLook)
		if mayEnd(a.busy.Load(), a.clock.Now()-began, a.settings.Bounds.ShutdownGrace) {
			break
		}
	}
	if err := a.front.Shutdown(); err != nil {
		a.log.Warn("open connections were cut", zap.Error(err))
	}
}

// mayEnd reports whether a process that has been stopping for some time may end: the balancer knows and nothing is under way, or its grace is nearly over.
func mayEnd(busy int64, took, grace time.Duration) bool {
	return (busy == 0 && took >= stopLinger) || took >= time.Duration(float64(grace)*stopLongest)
}

func listenTCP(address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	return l, trace.Wrap(err, "listening on %s", address)
}
