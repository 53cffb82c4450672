package sched

import (
	"math"
	"time"

	"lavenderwing.example/lavenderwing/learn"
)

// Estimates of run times. Declared times are off by a factor of two or more, so they count only as far as they have predicted run times better than the queue's mean does.
const (
	// learnRate is the weight of the newest run in the averages; some tens of runs of a queue end each second.
	learnRate = 0.03
	// warmUpRuns is how many runs are averaged with equal weights first.
	warmUpRuns = 30
	// recomputeAfterRuns is the number of further runs of its queue after which a job's critical paths are computed again.
	recomputeAfterRuns = 20
	// priorVariance is the initial variance of log run times and of the errors of declared ones.
	priorVariance = 0.25
)

// runStats holds the statistics of a queue's finished runs, in logarithms of milliseconds.
type runStats struct {
	runs float64
	// mean and variance are of the run times themselves.
	mean     float64
	variance float64
	// bias and errorVariance are mean and variance of the run times relative to the declared ones.
	bias          float64
	errorVariance float64
}

// observe adds a run that succeeded.
func (s *runStats) observe(took time.Duration, declaredMs int64) {
	actual := math.Log(max(float64(took.Milliseconds()), 1))
	deviation := actual - math.Log(max(float64(declaredMs), 1))
	s.runs++
	if s.runs == 1 {
		s.mean, s.bias, s.variance, s.errorVariance = actual, deviation, priorVariance, priorVariance
		return
	}
	rate := max(learnRate, 1/min(s.runs, warmUpRuns))
	s.variance += rate * ((actual-s.mean)*(actual-s.mean) - s.variance)
	s.errorVariance += rate * ((deviation-s.bias)*(deviation-s.bias) - s.errorVariance)
	s.mean += rate * (actual - s.mean)
	s.bias += rate * (deviation - s.bias)
}

// expectedMs is the expected run time of an item with a declared time.
func (s *runStats) expectedMs(declaredMs int64) float64 {
	if s.runs == 0 || declaredMs <= 0 {
		return float64(declaredMs)
	}
	weight := s.variance / (s.variance + s.errorVariance + 1e-9)
	return math.Exp((1-weight)*s.mean + weight*(math.Log(float64(declaredMs))+s.bias))
}

// ensureRunStats returns the statistics of a queue's runs, and adds empty ones if there are none.
func (t *Table) ensureRunStats(queue string) *runStats {
	s, ok := t.runStatsByQueue[queue]
	if !ok {
		s = &runStats{}
		t.runStatsByQueue[queue] = s
	}
	return s
}

// criticalPaths returns for each step of a job the expected time in milliseconds from its start to the job's end, along the longest chain of steps. The result is kept until recomputeAfterRuns further runs of the queue have ended.
func (t *Table) criticalPaths(j *job) []float64 {
	if j.stats == nil {
		j.stats = t.ensureRunStats(j.queue.Name)
	}
	stats := j.stats
	if j.criticalPathsMs != nil && stats.runs-j.criticalPathsAtRuns < recomputeAfterRuns {
		return j.criticalPathsMs
	}
	steps := j.record.Steps
	if j.criticalPathsMs == nil {
		j.criticalPathsMs = make([]float64, len(steps))
		j.expectations = make([]learn.Expectation, len(steps))
	}
	for i := len(steps) - 1; i >= 0; i-- {
		longest := 0.0
		for n := i + 1; n < len(steps); n++ {
			for _, dependency := range steps[n].After {
				if dependency == i {
					longest = max(longest, j.criticalPathsMs[n])
				}
			}
		}
		j.expectations[i] = t.expect(j, i)
		expectedMs := j.expectations[i].Median
		if !j.expectations[i].Known() {
			expectedMs = stats.expectedMs(steps[i].EstimateMs)
		}
		j.criticalPathsMs[i] = longest + expectedMs
	}
	j.criticalPathsAtRuns = stats.runs
	return j.criticalPathsMs
}

// criticalPathMs is the expected time of the longest chain of steps through a job.
func (t *Table) criticalPathMs(j *job) float64 {
	longest := 0.0
	for _, c := range t.criticalPaths(j) {
		longest = max(longest, c)
	}
	return longest
}

// meanMs is the mean run time in milliseconds.
func (s *runStats) meanMs() float64 { return math.Exp(s.mean + s.variance/2) }
