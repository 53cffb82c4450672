package sched

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"lavenderwing.example/lavenderwing/blame"
	"lavenderwing.example/lavenderwing/work"
)

// LoadHostOrWave restores the progress of a host or wave, or an earlier holder's clocks, statistics or learned run times, from its record.
func (t *Table) LoadHostOrWave(key string, value []byte) error {
	if key == clockKey {
		return work.Decode(value, &t.earlierClocks)
	}
	if key == statsKey {
		return t.loadRunStats(value)
	}
	if strings.HasPrefix(key, learnedPrefix) {
		t.loadLearned(key, value)
		return nil
	}
	if name, ok := strings.CutPrefix(key, hostPrefix); ok {
		var record work.HostOrderRecord
		if err := work.Decode(value, &record); err != nil {
			return err
		}
		t.hostRecords[name] = record
		return nil
	}
	number, err := strconv.ParseInt(strings.TrimPrefix(key, wavePrefix), 10, 64)
	if err != nil {
		return trace.Wrap(err)
	}
	var progress work.WaveProgress
	if err := work.Decode(value, &progress); err != nil {
		return err
	}
	// The announcement may have been read already, while the records were on their way.
	wave := t.ensureWave(number)
	wave.completed, wave.recordedCompleted = progress.Completed, progress.Completed
	for _, name := range progress.Started {
		wave.begun[name] = true
	}
	wave.hostsUnknown = progress.Completed && len(progress.Started) == 0
	wave.reopen()
	return nil
}

// LoadJob restores a job from its record and, if there is one, its progress.
func (t *Table) LoadJob(record *work.Job, progress *work.JobProgress, now time.Duration) {
	// The job's age counts from its acceptance, which may have been by an earlier holder.
	age := max(time.Duration(t.wallMs(now)-record.AcceptedMs)*time.Millisecond, 0)
	j := t.addJob(record, now-age)
	if progress == nil || j.invalid {
		return
	}
	j.state, j.recordedState, j.endedMs = progress.State, progress.State, progress.EndedMs
	j.cancelled, j.recordedCancelled = progress.Cancelled, progress.Cancelled
	j.endedAt = now
	if progress.EndedMs > 0 {
		j.endedAt -= max(time.Duration(t.wallMs(now)-progress.EndedMs)*time.Millisecond, 0)
	}
	j.started = len(progress.Items) > 0 || progress.State != work.Queued
	sort.Slice(progress.Items, func(a, b int) bool { return progress.Items[a].Occurrence < progress.Items[b].Occurrence })
	for i := range progress.Items {
		t.loadItem(j, &progress.Items[i], now)
	}
	t.completeLoaded(j, now)
	t.loadSections(j, progress.Sections)
	if j.state.Final() && !t.hasRuns(j) {
		j.occurrences = nil
	}
}

// completeLoaded completes a gang of which one member has ended and a job whose items have all ended. An earlier holder may have written the end of an item and not the records of the others.
func (t *Table) completeLoaded(j *job, now time.Duration) {
	if !j.active() {
		return
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.spec.Gang && s.unfinished > 0 && s.unfinished < s.spec.Count {
				t.completeGang(s, now)
				t.markDirty(j)
			}
		}
	}
	if t.allOccurrencesDone(j) {
		t.finishJob(j, work.Completed, now)
	}
}

// loadRunStats restores what an earlier holder has learned of run times.
func (t *Table) loadRunStats(value []byte) error {
	var record work.RunStatsRecord
	if err := work.Decode(value, &record); err != nil {
		return err
	}
	for _, q := range record.Queues {
		*t.ensureRunStats(q.Queue) = runStats{runs: q.Runs, mean: q.Mean, variance: q.Variance, bias: q.Bias, errorVariance: q.ErrorVariance}
	}
	return nil
}

// RestoreArrivals adds the jobs that were accepted lately to the measured arrivals, so that a burst under way is not taken for new. It is called once all jobs are loaded.
func (t *Table) RestoreArrivals(now time.Duration) {
	for _, j := range t.activeJobs {
		if j.active() && now-j.acceptedAt < arrivalWindow {
			t.ensurePool(j.queue.Pool).addArrivalOf(j.record, func(step int) float64 { return t.meanMs(j, step) }, j.acceptedAt, now)
		}
	}
}

// loadItem restores an item from its progress; a run may still be active on its target.
func (t *Table) loadItem(j *job, progress *work.ItemProgress, now time.Duration) {
	for j.record.Occurrences > 0 && j.nextOccurrence <= progress.Occurrence {
		j.addOccurrence(j.nextOccurrence, j.record.FirstRunMs+int64(j.nextOccurrence)*j.record.IntervalMs)
		j.nextOccurrence++
	}
	it := j.find(work.ItemID{Job: j.record.ID, Occurrence: progress.Occurrence, Step: progress.Step, Index: progress.Index})
	if it == nil {
		return
	}
	it.run, it.failures, it.checkpoint = progress.Run, progress.Failures, progress.Checkpoint
	it.crashes = blame.Tally{Prompt: progress.Crashes, Explained: progress.Explained}
	if progress.Suspect && !progress.Done && j.active() {
		it.suspect = true
		j.suspects++
	}
	switch {
	case progress.Done:
		it.state = itemEnded
		it.step.waiting--
		it.step.unfinished--
		it.step.occurrence.unfinished--
	case progress.Target != "":
		tgt := t.ensureTarget(progress.Target)
		it.state = itemOrdered
		it.step.waiting--
		it.target = tgt
		// Starts of an earlier holder that are still in flight are rejected once the target has answered this holder, so the run counts as confirmed.
		it.confirmed, it.sent, it.incarnation = true, true, progress.Incarnation
		tgt.charge(it)
		t.loadTrial(it, progress.OnTrial)
		t.addTeamUsage(it, 1)
		tgt.leaseExpiresAt = t.tookOverAt + inheritedLeaseDuration
		if j.cancelled || (j.state.Final() && !it.outlivesFailure()) {
			t.logEvent("inherited", it.id.String(), string(tgt.ID), fmt.Sprintf("run=%d state=%s cancelled=%t", it.run, j.state, j.cancelled))
			t.orderStop(it, now)
		}
	}
}
