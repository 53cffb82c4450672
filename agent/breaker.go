package agent

import (
	"sync"
	"time"
)

// Bounds of the time for which a breaker stays open: the first is a few appends long, the longest about a takeover.
const (
	minBreakerPause = 250 * time.Millisecond
	maxBreakerPause = 2 * time.Second
)

// circuitBreaker stops calls to a failing store, so that callers' retries do not add to its load.
type circuitBreaker struct {
	mu        sync.Mutex
	pause     time.Duration
	openUntil time.Duration
}

// openFor returns for how long no call may be made, 0 if the breaker is closed.
func (b *circuitBreaker) openFor(now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.openUntil-now, 0)
}

// failed records a failed call; failures while the breaker is open belong to calls that were already under way and do not count.
func (b *circuitBreaker) failed(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < b.openUntil {
		return
	}
	b.pause = min(max(2*b.pause, minBreakerPause), maxBreakerPause)
	b.openUntil = now + b.pause
}

// succeeded records a successful call and closes the breaker.
func (b *circuitBreaker) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pause, b.openUntil = 0, 0
}
