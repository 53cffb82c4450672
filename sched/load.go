package sched

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"lavenderwing.example/lavenderwing/work"
)

// LoadHostOrWave restores the progress of a host or wave from its record.
func (t *Table) LoadHostOrWave(key string, value []byte) error {
	if name, ok := strings.CutPrefix(key, hostPrefix); ok {
		var p work.HostOrderRecord
		if err := work.Decode(value, &p); err != nil {
			return err
		}
		t.hostRecords[name] = p
		return nil
	}
	number, err := strconv.ParseInt(strings.TrimPrefix(key, wavePrefix), 10, 64)
	if err != nil {
		return trace.Wrap(err)
	}
	var p work.WaveProgress
	if err := work.Decode(value, &p); err != nil {
		return err
	}
	wave := &waveState{Wave: work.Wave{Number: number}, begun: map[string]bool{}, completed: p.Completed}
	for _, name := range p.Started {
		wave.begun[name] = true
	}
	t.waves[number] = wave
	t.waveList = append(t.waveList, wave)
	return nil
}

// LoadJob restores a job from its record and, if there is one, its progress.
func (t *Table) LoadJob(record *work.Job, p *work.JobProgress, now time.Duration) {
	// The job's time counts from its acceptance, by whichever process.
	age := max(time.Duration(t.wallMs(now)-record.AcceptedMs)*time.Millisecond, 0)
	j := t.addJob(record, now-age)
	if p == nil {
		return
	}
	j.state, j.recordedState, j.cancelled, j.endedMs = p.State, p.State, p.Cancelled, p.EndedMs
	j.started = len(p.Items) > 0 || p.State != work.Queued
	sort.Slice(p.Items, func(a, b int) bool { return p.Items[a].Occurrence < p.Items[b].Occurrence })
	for i := range p.Items {
		t.loadItem(j, &p.Items[i], now)
	}
	if j.state.Final() && !t.hasRuns(j) {
		j.occurrences = nil
	}
}

// loadItem restores an item from its progress; a run may still be active on its target.
func (t *Table) loadItem(j *job, p *work.ItemProgress, now time.Duration) {
	for j.record.Occurrences > 0 && j.nextOccurrence <= p.Occurrence {
		j.addOccurrence(j.nextOccurrence, j.record.FirstRunMs+int64(j.nextOccurrence)*j.record.IntervalMs)
		j.nextOccurrence++
	}
	it := j.find(work.ItemID{Job: j.record.ID, Occurrence: p.Occurrence, Step: p.Step, Index: p.Index})
	if it == nil {
		return
	}
	it.run, it.failures, it.checkpoint = p.Run, p.Failures, p.Checkpoint
	switch {
	case p.Done:
		it.state = itemEnded
		it.step.waiting--
		it.step.unfinished--
		it.step.occurrence.unfinished--
	case p.Target != "":
		tgt := t.ensureTarget(p.Target)
		it.state = itemOrdered
		it.step.waiting--
		it.target = tgt
		// Starts of an earlier holder that are still in flight are rejected once the target has answered this holder, so the run counts as confirmed.
		it.confirmed = true
		tgt.charge(it)
		t.addTeamUsage(it, 1)
		tgt.leaseExpiresAt = t.tookOverAt + inheritedLeaseDuration
		if j.cancelled || j.state.Final() {
			t.orderStop(it, now)
		}
	}
}
