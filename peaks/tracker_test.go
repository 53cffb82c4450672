package peaks

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// observed is what a tracker has said of a load.
type observed struct {
	expected, missed int
	// ahead holds the times in seconds at which a peak was predicted to begin within two seconds.
	ahead []float64
	// ended is how long a peak counted as just ended.
	ended time.Duration
}

// observe plays a load of the given rate, in observations of 100 ms.
func observe(t *Tracker, from, to time.Duration, rate func(seconds float64) float64) observed {
	var o observed
	for now := from; now < to; now += 100 * time.Millisecond {
		r := rate(now.Seconds())
		switch t.Observe(now, r, r, r, 50) {
		case Expected:
			o.expected++
		case Missed:
			o.missed++
		}
		if t.Ahead(now, 2*time.Second) > 0 {
			o.ahead = append(o.ahead, now.Seconds())
		}
		if t.Ended(now) {
			o.ended += 100 * time.Millisecond
		}
	}
	return o
}

// peaksAt returns a load of 400 for four seconds from each of the given times on, and of 10 otherwise.
func peaksAt(starts ...float64) func(float64) float64 {
	return func(seconds float64) float64 {
		for _, s := range starts {
			if seconds >= s && seconds < s+4 {
				return 400
			}
		}
		return 10
	}
}

// TestRecurrence guards against hosts that are ordered for peaks that do not come: a peak is predicted after two similar periods, and a prediction is dropped at the first miss until two further ones have been similar.
func TestRecurrence(t *testing.T) {
	for _, c := range []struct {
		name             string
		rate             func(float64) float64
		expected, missed int
		// aheadFrom and aheadUntil are the first and last time of predictions for the near future, 0 if there are none.
		aheadFrom, aheadUntil float64
	}{
		{"one period", peaksAt(10, 22), 0, 0, 0, 0},
		{"two periods", peaksAt(10, 22, 34, 46), 2, 1, 44, 58.8}, // none comes at 58
		{"two periods that differ", peaksAt(10, 22, 38), 0, 0, 0, 0},
		{"periods that differ by less than a fifth but by more than a second", peaksAt(10, 22, 35.5), 0, 0, 0, 0},
		{"turns that stop", peaksAt(10, 22, 34), 1, 1, 44, 46.8},
		{"a turn that comes early", peaksAt(10, 22, 34, 41), 1, 1, 0, 0},
		{"proved anew after a miss", peaksAt(10, 22, 34, 50, 62, 74), 2, 2, 44, 86.8},
		{"no peaks", peaksAt(), 0, 0, 0, 0},
		{"a higher load that stays", func(s float64) float64 { return peaksAt()(s) + 400*min(max(s-10, 0), 1) }, 0, 0, 0, 0},
		{"a load that was there before", func(float64) float64 { return 400 }, 0, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := observe(&Tracker{}, time.Second, 100*time.Second, c.rate)
			is.Equal(o.expected, c.expected)
			is.Equal(o.missed, c.missed)
			from, until := 0.0, 0.0
			if len(o.ahead) > 0 {
				from, until = o.ahead[0], o.ahead[len(o.ahead)-1]
			}
			is.Equal(from, c.aheadFrom)
			is.Equal(until, c.aheadUntil)
		})
	}
}

// TestPresentPeak guards against a new peak that is sized by an earlier one of another height, and against an end that is not noticed.
func TestPresentPeak(t *testing.T) {
	for _, c := range []struct {
		name    string
		second  float64
		present float64
	}{
		{"like the last one", 350, 400},
		{"twice as high", 900, 0},
		{"much lower", 150, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := &Tracker{}
			o := observe(tracker, time.Second, 22*time.Second, peaksAt(10))
			is.Equal(o.ended, endedTime)
			observe(tracker, 22*time.Second, 22*time.Second+400*time.Millisecond, func(float64) float64 { return c.second })
			now := 22*time.Second + 300*time.Millisecond
			is.Equal(tracker.Present(now), c.present)
			is.Equal(tracker.Remaining(now), 3700*time.Millisecond)
			is.True(!tracker.Settled(now) && !tracker.Ended(now))
			is.True(tracker.Settled(now + time.Second))
		})
	}
}

// TestTakeoverDuringPeak guards against a new holder, which knows no peaks, that takes the load which it finds for ordinary and its end for that of a peak, or predicts anything from it.
func TestTakeoverDuringPeak(t *testing.T) {
	is := is.New(t)
	tracker := &Tracker{}
	o := observe(tracker, 11*time.Second, 21*time.Second, peaksAt(10))
	is.Equal(o, observed{})
	o = observe(tracker, 21*time.Second, 60*time.Second, peaksAt(22, 34, 46))
	is.Equal(o.expected, 1) // the turns after the takeover are learned
}
