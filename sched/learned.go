package sched

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"lavenderwing.example/lavenderwing/learn"
	"lavenderwing.example/lavenderwing/work"
)

// Use of the learned run times, see package learn. While a queue has too few runs, or the feature is off, the estimates of runStats count.
const (
	// learnedLogInterval is how often what has been learned of a queue is logged.
	learnedLogInterval = 10 * time.Second
	// maxErrorSamples bounds the ratios of actual to expected run times that wait to be taken.
	maxErrorSamples = 10_000
)

// maxReplyGap is the longest time between two replies of a target after which the ends in the later one are not taken for late; while something runs, replies come about every second.
const maxReplyGap = 3 * time.Second

// noteLateReply marks the runs whose ends the present reply may report late, because the reply before it came long ago: the target or this process was halted meanwhile.
func (t *target) noteLateReply(now time.Duration) {
	for _, it := range t.runs {
		if now-max(t.answeredAt, it.orderedAt) > maxReplyGap {
			it.timed = false
		}
	}
}

// startLearning prepares the model if the feature is on.
func (t *Table) startLearning() {
	if t.features.Enabled(work.LearnedTimes) {
		t.learned = learn.New()
	}
}

// learnKey is the key of a step's run times.
func learnKey(j *job, step int) learn.Key {
	return learn.Key{Queue: j.queue.Name, Team: j.record.Team, Image: j.record.Steps[step].Image}
}

// expect returns what has been learned of a step's run time; it is not known if too little has been.
func (t *Table) expect(j *job, step int) learn.Expectation {
	if t.learned == nil || j.record.Steps[step].Serving {
		return learn.Expectation{}
	}
	return t.learned.Expect(learnKey(j, step), j.record.Steps[step].EstimateMs)
}

// observeRun learns from a run that succeeded, if it was the item's first one. With the feature on, timed says whether nothing has disturbed or hidden the run.
func (t *Table) observeRun(it *item, timed bool, now time.Duration) {
	s := it.step
	if it.run != 1 || (t.learned != nil && !timed) {
		return
	}
	took, declaredMs := now-it.orderedAt, s.spec.EstimateMs
	t.ensureRunStats(s.job.queue.Name).observe(took, declaredMs)
	if t.learned == nil {
		return
	}
	key := learnKey(s.job, s.index)
	if e := t.learned.Expect(key, declaredMs); e.Known() && len(t.expectationErrors) < maxErrorSamples {
		t.expectationErrors = append(t.expectationErrors, took.Seconds()*1000/e.Median)
	}
	t.learned.Observe(key, took, declaredMs, now)
}

// isTimed reports whether the time since the run was ordered is its run time: this holder has ordered it, it has run at full pace without a stop, and its target has answered all calls, so that its end is not reported late.
func (it *item) isTimed(tgt *target) bool {
	return it.timed && !it.stopping && it.pacePercent == fullPacePercent && (tgt.unreachableSince == 0 || tgt.unreachableSince < it.orderedAt)
}

// minProgressPercent is the progress from which it tells the remaining time better than other runs do: a target reports it in whole percent, and a run begins with a start-up of some tenths of a second.
const minProgressPercent = 10

// runningMs is the time in milliseconds that the run of an ordered item is expected to last on: by its progress if it is known, and else by what has been learned of its step. A run of which nothing is known is expected to have just begun.
func runningMs(e *learn.Expectation, it *item, now time.Duration) float64 {
	if it.progressPercent >= minProgressPercent && it.progressAt > it.orderedAt && it.orderedAt > 0 {
		left := float64(it.progressAt-it.orderedAt) * float64(fullPacePercent-it.progressPercent) / float64(it.progressPercent)
		return max(left-float64(now-it.progressAt), 0) / float64(time.Millisecond)
	}
	return float64(e.Remaining(max(now-it.orderedAt, 0))) / float64(time.Millisecond)
}

// meanMs is the expected mean run time of a step's items in milliseconds, long runs included, as it counts for the amount of work.
func (t *Table) meanMs(j *job, step int) float64 {
	t.criticalPaths(j)
	if e := &j.expectations[step]; e.Known() {
		return e.Mean
	}
	return t.ensureRunStats(j.queue.Name).expectedMs(j.record.Steps[step].EstimateMs)
}

// extendBusy notes until when a target is expected to be busy with an item that starts now.
func (t *Table) extendBusy(it *item, tgt *target, now time.Duration) {
	if t.learned == nil {
		return
	}
	t.criticalPaths(it.step.job)
	if e := &it.step.job.expectations[it.step.index]; e.Known() {
		tgt.busyUntil = max(tgt.busyUntil, now+time.Duration(e.Median)*time.Millisecond)
	}
}

// busyExtension is the part of an item's expected run time, from 0 to 1, by which it would keep a target busy for longer. A target with serving items stays anyway; one that is about to be maintained should become empty soon.
func (t *Table) busyExtension(it *item, tgt *target, now time.Duration) float64 {
	if t.learned == nil || it.step.spec.Serving || it.step.spec.BestEffort || (!tgt.maintenanceDue && tgt.hasServingItem()) {
		return 0
	}
	t.criticalPaths(it.step.job)
	e := &it.step.job.expectations[it.step.index]
	if !e.Known() {
		return 0
	}
	if tgt.maintenanceDue {
		return 1
	}
	extension := float64(now-tgt.busyUntil)/float64(time.Millisecond)/e.Median + 1
	return min(max(extension, 0), 1)
}

// measureEnds estimates for each job when what it runs now, and the steps after that, will be complete. A job whose running items have outlasted the body of their run times ends late however soon its other items start.
func (t *Table) measureEnds(now time.Duration) {
	if t.learned == nil {
		return
	}
	for _, j := range t.activeJobs {
		if !j.active() || j.serving {
			continue
		}
		for _, o := range j.occurrences {
			if o.unfinished > 0 {
				o.runsUntil = t.runsUntil(j, o, now)
			}
		}
	}
}

// runsUntil is the latest expected end of the occurrence by the items that run now, 0 if none does.
func (t *Table) runsUntil(j *job, o *occurrence, now time.Duration) time.Duration {
	paths, latest := t.criticalPaths(j), time.Duration(0)
	for _, s := range o.steps {
		e := &j.expectations[s.index]
		if s.unfinished == s.waiting || !e.Known() {
			continue
		}
		rest := paths[s.index] - e.Median
		for it := range s.known() {
			if it.state == itemOrdered && it.orderedAt > 0 {
				latest = max(latest, now+time.Duration((runningMs(e, it, now)+rest)*float64(time.Millisecond)))
			}
		}
	}
	return latest
}

// logLearned logs what has been learned of each queue.
func (t *Table) logLearned(now time.Duration) {
	if t.learned == nil || now-t.learnedLoggedAt < learnedLogInterval {
		return
	}
	t.learnedLoggedAt = now
	for _, queue := range t.learned.Queues() {
		if e := t.learned.Expect(learn.Key{Queue: queue}, 0); e.Known() {
			t.logEvent("learned", queue, fmt.Sprintf("runs=%.0f", e.Runs), fmt.Sprintf("medianMs=%.0f meanMs=%.0f p90Ms=%.0f p99Ms=%.0f declaredWeight=%.2f", e.Median, e.Mean, e.P90, e.P99, t.learned.DeclaredWeight(queue)))
		}
	}
}

// TakeExpectationErrors returns the ratios of actual to expected run times of the runs since the last call.
func (t *Table) TakeExpectationErrors() []float64 {
	e := t.expectationErrors
	t.expectationErrors = nil
	return e
}

// LearnedRuns is the number of runs that have been learned from, by queue.
func (t *Table) LearnedRuns() map[string]float64 {
	if t.learned == nil {
		return nil
	}
	runs := map[string]float64{}
	for _, queue := range t.learned.Queues() {
		runs[queue] = t.learned.Runs(queue)
	}
	return runs
}

// maxLearnedBytes bounds the record of learned run times, which is written every statsInterval; it holds the largest fleet's queues and some 500 teams and kinds of items.
const maxLearnedBytes = 64 << 10

// flushLearned adds the learned run times to a batch. A version of the program that writes another form uses another key, so that neither hides the other's record.
func (t *Table) flushLearned(b *Batch) error {
	if t.learned == nil {
		return nil
	}
	limit := maxLearnedBytes
	if t.recordLimit > 0 {
		limit = min(limit, t.recordLimit-len(learnedKey)-1)
	}
	value, err := t.learned.Encode(limit)
	if err != nil {
		return trace.Wrap(err)
	}
	b.Entries = append(b.Entries, Entry{Key: learnedKey, Value: value})
	return nil
}

// loadLearned restores what an earlier holder has learned. A record that cannot be used is ignored, and learning begins anew.
func (t *Table) loadLearned(key string, value []byte) {
	if t.learned == nil {
		return
	}
	if key != learnedKey {
		t.logEvent("statsIgnored", key, "unknown record", fmt.Sprintf("bytes=%d", len(value)))
		return
	}
	m, err := learn.Decode(value)
	if err != nil {
		t.logEvent("statsIgnored", key, trace.Unwrap(err).Error(), fmt.Sprintf("bytes=%d", len(value)))
		return
	}
	t.learned = m
	for _, queue := range m.Queues() {
		t.ensureRunStats(queue)
	}
}
