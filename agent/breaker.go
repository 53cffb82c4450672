package agent

import (
	"sync"
	"time"
)

// Bounds of the time for which a breaker stays open: the shortest is as long as a few appends, the longest about as long as a takeover.
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

// recordFailure opens the breaker for longer after each failed call. Failures while it is open belong to calls that were already under way and do not count.
func (b *circuitBreaker) recordFailure(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < b.openUntil {
		return
	}
	b.pause = min(max(2*b.pause, minBreakerPause), maxBreakerPause)
	b.openUntil = now + b.pause
}

// recordSuccess closes the breaker after a successful call.
func (b *circuitBreaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pause, b.openUntil = 0, 0
}
