package agent

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// clock measures time that goes on while the host is suspended.
type clock struct {
	start time.Time
	boot  time.Duration
	// slept is the time by which the boot clock is ahead of the steady one.
	slept atomic.Int64
}

func newClock() *clock {
	return &clock{start: time.Now(), boot: bootTime()}
}

// bootTime reads the clock that counts suspensions, in time since the host's start.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without that clock a suspension looks like no time at all, which the fences still catch.
		return 0
	}
	return time.Duration(ts.Nano())
}

// Now returns the time since the process began, plus one so that 0 stands for never.
func (c *clock) Now() time.Duration {
	return time.Since(c.start) + time.Duration(c.slept.Load()) + 1
}

// AddSuspension looks for suspensions since the last call and returns how long they were.
func (c *clock) AddSuspension() time.Duration {
	slept := bootTime() - c.boot - time.Since(c.start)
	before := time.Duration(c.slept.Load())
	if slept > before {
		c.slept.Store(int64(slept))
		return slept - before
	}
	return 0
}
