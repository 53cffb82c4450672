package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/event"
)

// leaveTimeout bounds the wait for the leave record and for the close of the listener.
const leaveTimeout = 2 * time.Second

// loadBalancerDelay is how long a stopping process waits before it closes connections, so that load balancers notice the failing health check first.
const loadBalancerDelay = 500 * time.Millisecond

// stop refuses new requests, finishes the others, leaves the membership and closes the listener.
func (n *Node) stop(background context.Context) {
	n.stopping.Store(true)
	n.timeline.Add(event.KindStop, n.settings.Seat, "", "graceful")
	n.clock.Sleep(loadBalancerDelay)
	if n.drain() {
		n.leave(background)
	} else {
		n.log.Warn("graceful stop timed out with requests still running")
	}
	ctx, cancel := context.WithTimeout(background, leaveTimeout)
	defer cancel()
	if err := n.server.ShutdownWithContext(ctx); err != nil {
		n.log.Warn("could not close the listener", zap.Error(err))
	}
	n.log.Info("stopped")
}

// drain waits until every request has an outcome, and returns false if that takes longer than StopTimeout.
func (n *Node) drain() bool {
	end := n.clock.Now().Add(n.settings.StopTimeout)
	for n.inFlight.Load() > 0 {
		if n.clock.Now().After(end) {
			return false
		}
		n.clock.Sleep(n.settings.TickPeriod)
	}
	return true
}

// leave records that no request of this process runs any more, so that its units of limits become free. It does nothing if an abandoned request may still be running, or if an earlier incarnation may still use units of this process.
func (n *Node) leave(background context.Context) {
	n.mu.Lock()
	abandoned := n.admission.Abandoned()
	r := n.session.LeaveRecord(n.view().longestRun, n.clock.Now())
	n.mu.Unlock()
	if abandoned > 0 || r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(background, leaveTimeout)
	defer cancel()
	if err := n.stateWriter.SubmitAndWait(ctx, r); err != nil {
		n.log.Warn("could not record the leave", zap.Error(err))
	}
}
