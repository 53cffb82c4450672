package agent

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// clock is a monotonic clock that includes the time for which the host was suspended.
type clock struct {
	start         time.Time
	startWallMs   int64
	startBootTime time.Duration
	// suspended is the time by which the boot clock is ahead of the monotonic one.
	suspended atomic.Int64
}

func newClock() *clock {
	now := time.Now()
	return &clock{start: now, startWallMs: now.UnixMilli(), startBootTime: bootTime()}
}

// bootTime returns the time since the host's start, including suspensions.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without the boot clock suspensions go unnoticed, but fencing still rejects the writes of a holder that was suspended.
		return 0
	}
	return time.Duration(ts.Nano())
}

// Now returns the time since the process started plus one nanosecond, so that 0 means never.
func (c *clock) Now() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load()) + 1
}

// ProcessMs returns the process time: the time of day at the start of the process, in milliseconds since the Unix epoch, and the time since then. Unlike the time of day it never jumps.
func (c *clock) ProcessMs() int64 { return c.startWallMs + c.Now().Milliseconds() }

// AddSuspension adds the time for which the host was suspended since the last call, and returns it.
func (c *clock) AddSuspension() time.Duration {
	suspended := bootTime() - c.startBootTime - time.Since(c.start)
	before := time.Duration(c.suspended.Load())
	if suspended > before {
		c.suspended.Store(int64(suspended))
		return suspended - before
	}
	return 0
}
