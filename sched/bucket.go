package sched

import "time"

// bucketBurst is how much of a rate may be used at once after a calm; it is sent well before an order's record is too old.
const bucketBurst = 250 * time.Millisecond

// bucket is a token bucket; its zero value does not limit.
type bucket struct {
	perSecond float64
	tokens    float64
	at        time.Duration
}

func newBucket(perSecond float64) bucket {
	return bucket{perSecond: perSecond, tokens: max(perSecond*bucketBurst.Seconds(), 1)}
}

// take reports whether one more may go now, and counts it.
func (b *bucket) take(now time.Duration) bool {
	if b.perSecond <= 0 {
		return true
	}
	b.tokens = min(b.tokens+b.perSecond*(now-b.at).Seconds(), max(b.perSecond*bucketBurst.Seconds(), 1))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
