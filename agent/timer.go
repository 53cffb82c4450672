package agent

import "time"

// earliestTimer is a timer that fires at the earliest of the times that it was set to.
type earliestTimer struct {
	timer    *time.Timer
	deadline time.Time
	armed    bool
}

func newEarliestTimer() *earliestTimer {
	t := &earliestTimer{timer: time.NewTimer(time.Hour)}
	t.timer.Stop()
	return t
}

// C returns the channel that receives a value when the timer fires.
func (t *earliestTimer) C() <-chan time.Time { return t.timer.C }

// set makes the timer fire after a wait, unless it already fires earlier.
func (t *earliestTimer) set(wait time.Duration) {
	at := time.Now().Add(wait)
	if t.armed && !at.Before(t.deadline) {
		return
	}
	t.deadline, t.armed = at, true
	t.timer.Reset(max(wait, 0))
}

// markFired must be called after the value was received from the channel; only then can the timer be set again.
func (t *earliestTimer) markFired() { t.armed = false }

func (t *earliestTimer) stop() { t.timer.Stop() }
