package sched

import (
	"math"
	"time"
)

// Parameters of the detection of bursts: a queue's arrivals rise to many times their former rate within a fraction of a second and last for some seconds. Moving a host takes almost two seconds, so hosts must be ordered within a few tenths of a second.
const (
	// burstBucket is the resolution of the arrivals that are kept, and burstBuckets how many are kept.
	burstBucket  = 50 * time.Millisecond
	burstBuckets = 12
	// burstConfidence is how many standard deviations the estimate stays below what arrived, so that a few jobs that happen to come together do not count as a burst.
	burstConfidence = 1.0
)

// burstWindows are the times over which arrivals are averaged; the shortest that shows a burst decides.
var burstWindows = [...]int{2, 4, 6, 12}

// burstMeter measures the rate of arriving work over short windows.
type burstMeter struct {
	// latest is the number of the newest bucket, counted from time 0 of the process's clock.
	latest  int64
	buckets [burstBuckets]arrivalBucket
}

// arrivalBucket holds the work of the jobs that arrived during one burstBucket, in millicore-seconds, and the sum of its squares.
type arrivalBucket struct{ work, squares float64 }

// advance clears the buckets that have begun since the last call.
func (m *burstMeter) advance(now time.Duration) {
	current := int64(now / burstBucket)
	for m.latest < current {
		m.latest = max(m.latest+1, current-burstBuckets+1)
		m.buckets[m.latest%burstBuckets] = arrivalBucket{}
	}
}

// add adds the work, in millicore-seconds, of a job that arrived at the given time, unless that is too long ago.
func (m *burstMeter) add(work float64, at, now time.Duration) {
	m.advance(now)
	// The time is negative if the job arrived before this process started.
	n := int64(math.Floor(float64(at) / float64(burstBucket)))
	if n <= m.latest-burstBuckets {
		return
	}
	b := &m.buckets[(n+burstBuckets)%burstBuckets]
	b.work += work
	b.squares += work * work
}

// rate returns the rate of arriving work in millicores that is safely exceeded in at least one of the windows.
func (m *burstMeter) rate(now time.Duration) float64 {
	m.advance(now)
	highest, sum, squares, n := 0.0, 0.0, 0.0, 0
	for _, window := range burstWindows {
		for ; n < window; n++ {
			b := m.buckets[(m.latest-int64(n)+burstBuckets)%burstBuckets]
			sum += b.work
			squares += b.squares
		}
		// The newest bucket is not over yet.
		length := time.Duration(window-1)*burstBucket + now%burstBucket
		// For jobs that arrive independently, the variance of the sum is about the sum of the squares.
		highest = max(highest, (sum-burstConfidence*math.Sqrt(squares))/length.Seconds())
	}
	return highest
}
