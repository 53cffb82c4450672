package agent

import (
	"context"
	"sync"
	"time"
)

// Delays of hedged calls. The store may lose the answers of a large part of its writes, and targets those of their orders; without a hedge, a lost answer shows only by the timeout of its call.
const (
	// hedgeLatencyFactor is the delay of the second attempt as a multiple of the average latency, so that few calls are repeated while no answers are lost.
	hedgeLatencyFactor = 5
	minHedgeDelay      = 40 * time.Millisecond
	maxHedgeDelay      = 500 * time.Millisecond
	// maxHedges bounds the further attempts of a call.
	maxHedges = 2
)

// hedgeDelay is the time from one attempt to the next for the given number of hedges made so far; it doubles with each.
func hedgeDelay(latency time.Duration, hedges int) time.Duration {
	return min(max(hedgeLatencyFactor*latency, minHedgeDelay), maxHedgeDelay) << hedges
}

// hedged makes a call and repeats it while no attempt has ended, up to maxHedges times. It returns the first result without an error or with a decisive one, or, once every attempt that was made has failed, the last error. It also returns how many attempts were made. The call must be safe to repeat: an attempt that is still under way is not cancelled and may be carried out later.
func hedged[T any](ctx context.Context, latency time.Duration, call func() (T, error), decisive func(error) bool) (T, int, error) {
	type outcome struct {
		value T
		err   error
	}
	outcomes := make(chan outcome, maxHedges+1)
	attempt := func() {
		value, err := call()
		outcomes <- outcome{value, err}
	}
	var none T
	made, failed := 1, 0
	go attempt()
	timer := time.NewTimer(hedgeDelay(latency, 0))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return none, made, ctx.Err()
		case o := <-outcomes:
			if o.err == nil || decisive(o.err) {
				return o.value, made, o.err
			}
			if failed++; failed == made {
				return none, made, o.err
			}
		case <-timer.C:
			if made <= maxHedges {
				timer.Reset(hedgeDelay(latency, made))
				made++
				go attempt()
			}
		}
	}
}

// latencyWeight is the weight of the newest latency in the moving average.
const latencyWeight = 0.3

// latencyAverage is the moving average of the latency of calls to the store or to a target.
type latencyAverage struct {
	mu      sync.Mutex
	average time.Duration
}

func (l *latencyAverage) record(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.average += time.Duration(latencyWeight * float64(took-l.average))
}

func (l *latencyAverage) get() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.average
}
