package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/event"
)

// leaveWait bounds the wait for the log to take the leave record.
const leaveWait = 2 * time.Second

// balancerWait lets the balancer see that the health check fails before connections close.
const balancerWait = 500 * time.Millisecond

// stop takes nothing new, finishes what runs, gives back what it holds and closes the listener.
func (n *Node) stop(background context.Context) {
	n.stopping.Store(true)
	n.line.Add(event.KindStop, n.settings.Seat, "", "graceful")
	n.clock.Sleep(balancerWait)
	if n.drain() {
		n.leave(background)
	} else {
		n.log.Warn("stopped with requests still running")
	}
	ctx, cancel := context.WithTimeout(background, leaveWait)
	defer cancel()
	if err := n.server.ShutdownWithContext(ctx); err != nil {
		n.log.Warn("listener not closed in time", zap.Error(err))
	}
	n.log.Info("stopped")
}

// drain waits until every request has its outcome, and returns false when that takes too long.
func (n *Node) drain() bool {
	end := n.clock.Now().Add(n.settings.StopTimeout)
	for n.serving.Load() > 0 {
		if n.clock.Now().After(end) {
			return false
		}
		n.clock.Sleep(n.settings.TickPeriod)
	}
	return true
}

// leave tells the others that nothing of this process runs any more, unless a given-up request may.
func (n *Node) leave(background context.Context) {
	n.mu.Lock()
	lingering := n.rows.Abandoned()
	r := n.keeper.LeaveRecord(n.view().longestRun, n.clock.Now())
	n.mu.Unlock()
	if lingering > 0 || r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(background, leaveWait)
	defer cancel()
	if err := n.writer.SubmitAndWait(ctx, r); err != nil {
		n.log.Warn("leave not recorded", zap.Error(err))
	}
}
