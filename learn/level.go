package learn

import (
	"math"
	"time"
)

// momentRate is the weight of the newest run in a level's averages once 1/momentRate runs have been averaged with equal weights. Run times of a queue change over minutes, in which hundreds of runs end.
const momentRate = 0.02

// observation is a run in logarithms of milliseconds.
type observation struct {
	actual float64
	// declared is NaN if no time was declared.
	declared float64
	// coarse is what the queue as a whole predicted.
	coarse float64
	// tail means that the run took far longer than predicted.
	tail bool
}

// level holds the averages of a queue's runs, or of those of one of its teams or kinds, without the tail, in logarithms of milliseconds.
type level struct {
	runs float64
	// body is the number of runs and declaredRuns of runs with a declared time in the averages.
	body         float64
	declaredRuns float64
	mean         float64
	variance     float64
	// declaredMean, declaredVariance and covariance relate the declared times to the actual ones.
	declaredMean     float64
	declaredVariance float64
	covariance       float64
	// loss is the mean square of this level's errors, and coarseLoss of those of the queue's prediction for the same runs.
	loss       float64
	coarseLoss float64
	// tailShare is the part of the latest runs that belongs to the tail.
	tailShare float64
	shape     shape
	// usedAt is when a run was last observed.
	usedAt time.Duration
}

// slope is the part of a difference between declared times that the run times follow, from 0 to 1; it is reduced by what would show by chance.
func (l *level) slope() float64 {
	if l.declaredRuns < shapeFromRuns || l.declaredVariance < 1e-6 || l.variance < 1e-9 {
		return 0
	}
	explained := l.covariance * l.covariance / (l.declaredVariance * l.variance)
	chance := max(1/l.declaredRuns, momentRate/2)
	if l.covariance <= 0 || explained <= chance {
		return 0
	}
	return min(l.covariance/l.declaredVariance*(explained-chance)/(explained*(1-chance)), 1)
}

// predict is the typical run time for a declared one; NaN stands for none.
func (l *level) predict(declared float64) float64 {
	if math.IsNaN(declared) {
		return l.mean
	}
	return l.mean + l.slope()*(declared-l.declaredMean)
}

// observe adds a run. One of the tail does not change the averages as long as skipTail holds.
func (l *level) observe(o observation, skipTail bool) {
	l.runs++
	if o.tail {
		l.tailShare += tailRate * (1 - l.tailShare)
	} else {
		l.tailShare -= tailRate * l.tailShare
	}
	if o.tail && skipTail {
		return
	}
	if l.body >= shapeFromRuns {
		rate := max(momentRate, 1/(l.body-shapeFromRuns+1))
		l.loss += rate * (square(o.actual-l.predict(o.declared)) - l.loss)
		l.coarseLoss += rate * (square(o.actual-o.coarse) - l.coarseLoss)
	}
	l.body++
	rate := max(momentRate, 1/l.body)
	deviation := o.actual - l.mean
	l.mean += rate * deviation
	l.variance = (1 - rate) * (l.variance + rate*deviation*deviation)
	if math.IsNaN(o.declared) {
		return
	}
	l.declaredRuns++
	rate = max(momentRate, 1/l.declaredRuns)
	declaredDeviation := o.declared - l.declaredMean
	l.declaredMean += rate * declaredDeviation
	l.declaredVariance = (1 - rate) * (l.declaredVariance + rate*declaredDeviation*declaredDeviation)
	l.covariance = (1 - rate) * (l.covariance + rate*declaredDeviation*deviation)
}

func square(x float64) float64 { return x * x }
