package sched

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"lavenderwing.example/lavenderwing/work"
)

// LoadHostOrWave fills the table with a record that names no job.
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
	row := &waveRow{Wave: work.Wave{Number: number}, begun: map[string]bool{}, completed: p.Completed}
	for _, name := range p.Started {
		row.begun[name] = true
	}
	t.waves[number] = row
	t.waveOrder = append(t.waveOrder, row)
	return nil
}

// LoadJob fills the table with what the store holds of a job: its record and, if there is one, its progress.
func (t *Table) LoadJob(rec *work.Job, p *work.JobProgress, now time.Duration) {
	// The job's time goes on since it was accepted, by whichever process.
	age := max(time.Duration(t.wallMs(now)-rec.AcceptedMs)*time.Millisecond, 0)
	j := t.add(rec, now-age)
	if p == nil {
		return
	}
	j.state, j.shown, j.cancelled, j.endedMs = p.State, p.State, p.Cancelled, p.EndedMs
	j.begun = len(p.Items) > 0 || p.State != work.Queued
	sort.Slice(p.Items, func(a, b int) bool { return p.Items[a].Occurrence < p.Items[b].Occurrence })
	for i := range p.Items {
		t.loadItem(j, &p.Items[i], now)
	}
	if j.state.Final() && !t.running(j) {
		j.occs = nil
	}
}

func (t *Table) loadItem(j *job, p *work.ItemProgress, now time.Duration) {
	for j.rec.Occurrences > 0 && j.next <= p.Occurrence {
		j.unfold(j.next, j.rec.FirstRunMs+int64(j.next)*j.rec.IntervalMs)
		j.next++
	}
	it := j.find(work.ItemID{Job: j.rec.ID, Occurrence: p.Occurrence, Step: p.Step, Index: p.Index})
	if it == nil {
		return
	}
	it.run, it.failures, it.checkpoint = p.Run, p.Failures, p.Checkpoint
	switch {
	case p.Done:
		it.state = itemEnded
		it.step.waiting--
		it.step.left--
		it.step.occ.left--
	case p.Target != "":
		row := t.target(p.Target)
		it.state = itemOrdered
		it.step.waiting--
		it.target = row
		// An earlier holder's orders are void once the target has answered this holder.
		it.confirmed = true
		row.charge(it)
		t.spend(it, 1)
		row.expireBy = t.began + unheldLease
		if j.cancelled || j.state.Final() {
			t.stop(it, now)
		}
	}
}
