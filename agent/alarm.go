package agent

import "time"

// alarm is a timer that keeps the earliest time that it was set to.
type alarm struct {
	timer *time.Timer
	at    time.Time
	armed bool
}

func newAlarm() *alarm {
	a := &alarm{timer: time.NewTimer(time.Hour)}
	a.timer.Stop()
	return a
}

// C returns the channel that gets a value when the time has come.
func (a *alarm) C() <-chan time.Time { return a.timer.C }

// set asks for the alarm after a wait, unless it comes earlier already.
func (a *alarm) set(wait time.Duration) {
	at := time.Now().Add(wait)
	if a.armed && !at.Before(a.at) {
		return
	}
	a.at, a.armed = at, true
	a.timer.Reset(max(wait, 0))
}

// rang notes that the value was taken from the channel.
func (a *alarm) rang() { a.armed = false }

func (a *alarm) stop() { a.timer.Stop() }
