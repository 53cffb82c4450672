package sched

import (
	"math"
	"time"

	"lavenderwing.example/lavenderwing/peaks"
)

// Parameters of the detection of bursts: a queue's arrivals rise to many times their former rate within a fraction of a second and last for some seconds. Moving a host takes almost two seconds, so hosts must be ordered within a few tenths of a second.
const (
	// burstBucket is the resolution of the arrivals that are kept, and burstBuckets how many are kept.
	burstBucket  = 50 * time.Millisecond
	burstBuckets = 24
	// burstConfidence is how many standard deviations the estimate stays below what arrived, so that a few jobs that happen to come together do not count as a burst.
	burstConfidence = 1.0
	// beginConfidence is the same for the beginning of a peak that is remembered: at a few jobs a second, four of them within 300 ms must not count.
	beginConfidence = 2.0
	// fallConfidence is how many standard deviations a fall must differ from chance, so that a pause between jobs does not end a peak; arrivals are looked at some 40 times in a peak.
	fallConfidence = 3.0
)

// fallWindows are the times over which arrivals are averaged to find the end of a peak.
var fallWindows = [...]int{6, 12}

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

// mean returns the rate of arriving work in millicores over the last buckets of the given number, the newest of which is not over yet.
func (m *burstMeter) mean(now time.Duration, buckets int) float64 {
	m.advance(now)
	sum := 0.0
	for n := range buckets {
		sum += m.buckets[(m.latest-int64(n)+burstBuckets)%burstBuckets].work
	}
	return sum / (time.Duration(buckets-1)*burstBucket + now%burstBucket).Seconds()
}

// fallRate returns the rate of arriving work in millicores over the shortest window in which a fall to a fifth differs from chance by fallConfidence standard deviations, or over all buckets.
func (m *burstMeter) fallRate(now time.Duration) float64 {
	m.advance(now)
	sum, squares := 0.0, 0.0
	for n := range m.buckets {
		sum += m.buckets[n].work
		squares += m.buckets[n].squares
	}
	for _, window := range fallWindows {
		part := float64(window) / burstBuckets
		if (1-peaks.EndRatio)*sum*part >= fallConfidence*math.Sqrt(squares*part) {
			return m.mean(now, window)
		}
	}
	return m.mean(now, burstBuckets)
}

// safeRate returns the rate of arriving work in millicores over the last buckets that is exceeded unless arrivals are beginConfidence standard deviations above their mean.
func (m *burstMeter) safeRate(now time.Duration, buckets int) float64 {
	m.advance(now)
	sum, squares := 0.0, 0.0
	for n := range buckets {
		b := m.buckets[(m.latest-int64(n)+burstBuckets)%burstBuckets]
		sum += b.work
		squares += b.squares
	}
	return max(sum-beginConfidence*math.Sqrt(squares), 0) / (time.Duration(buckets-1)*burstBucket + now%burstBucket).Seconds()
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
