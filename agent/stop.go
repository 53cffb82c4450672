package agent

import (
	"time"

	"go.uber.org/zap"
)

// Timing of a graceful stop within the platform's grace period.
const (
	// balancerDelay is how long a stopping process goes on serving. The load balancer stops sending requests after two failed readiness checks, which it makes once a second.
	balancerDelay = 2500 * time.Millisecond
	// maxGraceShare is the share of the grace period after which the process exits even if requests are in flight.
	maxGraceShare     = 0.75
	stopCheckInterval = 50 * time.Millisecond
)

// stop ends the process gracefully: it resigns as holder, fails the readiness checks, serves until the process may exit, and closes the callers' connections.
func (a *Agent) stop() {
	began := a.clock.Now()
	a.stopping.Store(true)
	if h := a.activeHolder(); h != nil {
		h.resign()
	}
	for {
		time.Sleep(stopCheckInterval)
		if mayExit(a.inFlight.Load(), a.clock.Now()-began, a.settings.Bounds.ShutdownGrace) {
			break
		}
	}
	if err := a.callerServer.Shutdown(); err != nil {
		a.log.Warn("server shutdown failed", zap.Error(err))
	}
}

// mayExit reports whether a stopping process may exit: the load balancer sends no more requests and none are in flight, or the grace period is nearly over.
func mayExit(inFlight int64, took, grace time.Duration) bool {
	return (inFlight == 0 && took >= balancerDelay) || took >= time.Duration(float64(grace)*maxGraceShare)
}
