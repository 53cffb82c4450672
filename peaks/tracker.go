package peaks

import (
	"math"
	"time"
)

// Parameters of peaks.
const (
	// beginRatio is the ratio of arriving work to its mean outside peaks at which a peak begins: above the chance variations of some jobs a second, and below a queue's turn, which is 100 times what arrives between turns.
	beginRatio = 3.0
	// EndRatio is the part of its height below which a peak has ended.
	EndRatio = 0.2
	// quietWindow is the time over which arriving work outside peaks is averaged: a few of its jobs arrive in it.
	quietWindow = 4 * time.Second
	// learnTime is how long arriving work is observed before a peak can begin, so that a new holder does not take ordinary work for a peak.
	learnTime = 2 * time.Second
	// maxLength is how long a peak may last: a higher load that lasts longer is the ordinary one.
	maxLength = 30 * time.Second
	// earlyTime is how long a peak has to last until its arrivals are compared with earlier peaks, and judgedAfter until they have shown its height.
	earlyTime   = 300 * time.Millisecond
	judgedAfter = 900 * time.Millisecond
	// detectionTime is how much later than its arrivals a peak of few jobs may be recognised.
	detectionTime = 500 * time.Millisecond
	// similarHeight is the largest ratio of the heights of similar peaks; the arrivals of 300 ms vary by about as much.
	similarHeight = 2.0
	// similarPeriod is the part by which periods of a recurrence may differ.
	similarPeriod = 0.2
	// maxSpread is the largest difference of two periods for which a peak is predicted: hosts that are held for longer cost more than the callers at the rise who would be late.
	maxSpread = 800 * time.Millisecond
	// endedTime is how long a peak counts as just ended; its last work has run by then.
	endedTime = 3 * time.Second
)

// Peak is one peak of arriving work.
type Peak struct {
	Start  time.Duration
	Length time.Duration
	// Height is the mean of the arriving work in millicores after the rise.
	Height float64
}

// Change says what an observation has changed.
type Change int

// Changes of a tracker.
const (
	// None means that nothing changed.
	None Change = iota
	// Expected means that the next peak is predicted now.
	Expected
	// Missed means that the predicted peak did not come or came at another time, so that the prediction is dropped.
	Missed
)

// Tracker follows the peaks of one pool. Its zero value knows none. Times are those of the process's clock.
type Tracker struct {
	beganAt time.Duration
	at      time.Duration
	quiet   float64
	present Peak
	active  bool
	// sum and samples give the height of the present peak after earlyTime.
	sum     float64
	samples int
	endedAt time.Duration
	// last holds the last completed peak, and previous the one before it.
	last, previous Peak
	// period and spread are the last time between the starts of two peaks and its difference from the one before; the prediction holds while proven.
	period, spread time.Duration
	proven         bool
}

// Observe adds the arriving work of the last few tenths of a second, in millicores; observations should be 100 ms apart. A peak ends when fall, the same over the time that it takes to tell an end from a pause, is below EndRatio of its height. It begins when safe, the part of rate that is not due to chance, exceeds floor and beginRatio times what arrives outside peaks.
func (t *Tracker) Observe(now time.Duration, rate, fall, safe, floor float64) Change {
	if t.at == 0 {
		t.beganAt, t.at, t.quiet = now, now, rate
		return None
	}
	elapsed := now - t.at
	t.at = now
	if t.active {
		t.continuePeak(now, rate, fall)
		return None
	}
	if now-t.beganAt >= learnTime && safe > floor && safe > beginRatio*t.quiet {
		return t.begin(now, rate)
	}
	// A peak that is not recognised yet must not hide itself.
	bounded := min(rate, max(floor, 2*t.quiet))
	t.quiet = bounded + (t.quiet-bounded)*math.Exp(-elapsed.Seconds()/quietWindow.Seconds())
	if t.proven && now > t.nextStart()+t.margin() {
		t.proven = false
		t.period = 0
		return Missed
	}
	return None
}

// begin begins a peak and compares its time with that of the last one.
func (t *Tracker) begin(now time.Duration, rate float64) Change {
	wasProven := t.proven
	early := wasProven && now < t.nextStart()-t.margin()
	t.active, t.present, t.sum, t.samples = true, Peak{Start: now, Height: rate}, 0, 0
	t.proven = false
	if t.last.Length > 0 {
		period := now - t.last.Start
		if t.period > 0 {
			t.spread = (period - t.period).Abs()
			t.proven = !early && t.spread.Seconds() <= similarPeriod*t.period.Seconds() && t.spread <= maxSpread
		}
		t.period = period
	}
	switch {
	case wasProven && !t.proven:
		t.period = 0
		return Missed
	case t.proven:
		return Expected
	}
	return None
}

// continuePeak adds to the height of the present peak, or ends it.
func (t *Tracker) continuePeak(now time.Duration, rate, fall float64) {
	age := now - t.present.Start
	switch {
	case fall < EndRatio*t.present.Height:
		t.active = false
		t.endedAt = now
		t.present.Length = age
		t.previous, t.last = t.last, t.present
	case age > maxLength:
		// The higher load is the ordinary one from now on.
		*t = Tracker{beganAt: t.beganAt, at: t.at, quiet: rate}
	case age >= earlyTime:
		t.sum += rate
		t.samples++
		t.present.Height = t.sum / float64(t.samples)
	default:
		t.present.Height = max(t.present.Height, rate)
	}
}

// nextStart is when the next peak should begin if peaks recur.
func (t *Tracker) nextStart() time.Duration { return t.last.Start + t.period }

// margin is how much earlier or later than predicted a peak may begin.
func (t *Tracker) margin() time.Duration { return max(t.spread, earlyTime) + detectionTime }

// Ahead returns the height of a peak that will have begun within the given time, as far as it can be predicted, or 0.
func (t *Tracker) Ahead(now, lead time.Duration) float64 {
	if !t.proven || t.active || now < t.nextStart()-lead-t.spread {
		return 0
	}
	return min(t.last.Height, t.previous.Height)
}

// Present returns the height that the last peak predicts for the present one, or 0 if there is none, if the present one is unlike it, or once its own arrivals have shown its height.
func (t *Tracker) Present(now time.Duration) float64 {
	age := now - t.present.Start
	if !t.active || age < earlyTime || age > judgedAfter || t.last.Height == 0 {
		return 0
	}
	if ratio := t.present.Height / t.last.Height; ratio < 1/similarHeight || ratio > similarHeight {
		return 0
	}
	return t.last.Height
}

// Remaining returns how much longer the present peak should last after the last one, 0 if it is over or unknown.
func (t *Tracker) Remaining(now time.Duration) time.Duration {
	if !t.active || t.last.Length == 0 || now-t.present.Start < earlyTime {
		return 0
	}
	return max(t.present.Start+t.last.Length-now, 0)
}

// Settled reports whether the present peak has lasted long enough for its arrivals to show its height.
func (t *Tracker) Settled(now time.Duration) bool {
	return t.active && now-t.present.Start > judgedAfter
}

// Ended reports whether a peak has just ended.
func (t *Tracker) Ended(now time.Duration) bool {
	return !t.active && t.endedAt > 0 && now-t.endedAt < endedTime
}

// Next returns in how long the predicted peak should begin, 0 if none is predicted.
func (t *Tracker) Next(now time.Duration) time.Duration {
	if !t.proven {
		return 0
	}
	if t.active {
		return t.present.Start + t.period - now
	}
	return t.nextStart() - now
}

// ExpectedWithin reports whether a peak is predicted to begin within the given time.
func (t *Tracker) ExpectedWithin(now, within time.Duration) bool {
	return t.proven && !t.active && t.nextStart()-now < within
}
