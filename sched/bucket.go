package sched

import "time"

// burstPeriod is the time for which unused rate accumulates; orders sent in such a burst leave well before their records are too old.
const burstPeriod = 250 * time.Millisecond

// tokenBucket limits a rate; its zero value does not limit.
type tokenBucket struct {
	perSecond float64
	tokens    float64
	at        time.Duration
}

func newTokenBucket(perSecond float64) tokenBucket {
	return tokenBucket{perSecond: perSecond, tokens: max(perSecond*burstPeriod.Seconds(), 1)}
}

// take takes a token and reports whether there was one.
func (b *tokenBucket) take(now time.Duration) bool {
	if b.perSecond <= 0 {
		return true
	}
	b.tokens = min(b.tokens+b.perSecond*(now-b.at).Seconds(), max(b.perSecond*burstPeriod.Seconds(), 1))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
