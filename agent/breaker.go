package agent

import (
	"sync"
	"time"
)

// Pauses of a breaker: the first is a few appends long, the longest about a takeover.
const (
	breakFirst = 250 * time.Millisecond
	breakMost  = 2 * time.Second
)

// breaker keeps calls from a store that fails them, so that those that callers repeat do not add to its load.
type breaker struct {
	mu    sync.Mutex
	pause time.Duration
	until time.Duration
}

// open returns for how long no call is to be made, 0 if one may.
func (b *breaker) open(now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.until-now, 0)
}

// failed notes a failed call; those that were under way with an earlier one do not count.
func (b *breaker) failed(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < b.until {
		return
	}
	b.pause = min(max(2*b.pause, breakFirst), breakMost)
	b.until = now + b.pause
}

// succeeded notes that a call was answered.
func (b *breaker) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pause, b.until = 0, 0
}
