package sched

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Entry is a record to be written under a key; without a value it removes the key.
type Entry struct {
	Key   string
	Value []byte
}

// Batch holds records with the orders and acknowledgements that may be sent only after the store holds them.
type Batch struct {
	Entries []Entry
	Orders  []Order
	// HostOrders are for the cloud.
	HostOrders []HostOrder
	jobs       []*job
	states     []work.State
	cancelled  []bool
	acks       []ack
	waves      []waveRecord
	removed    []string
}

// waveRecord is a wave whose progress a batch holds, and whether it was complete then.
type waveRecord struct {
	wave      *waveState
	completed bool
}

// ack is the acknowledgement of a target's ends up to a number, valid in one incarnation.
type ack struct {
	target      *target
	incarnation int64
	number      int64
}

// EndedJobs returns the identifiers of the jobs whose final state the batch holds, with their cancellation if they have been cancelled since.
func (b *Batch) EndedJobs() []work.JobID {
	var ids []work.JobID
	for i, j := range b.jobs {
		if b.states[i].Final() && (b.cancelled[i] || !j.cancelled) {
			ids = append(ids, j.record.ID)
		}
	}
	return ids
}

// Acknowledged returns the targets whose ends the batch records, so that they can be told to forget them once the store holds the batch.
func (b *Batch) Acknowledged() []work.TargetID {
	ids := make([]work.TargetID, len(b.acks))
	for i, a := range b.acks {
		ids[i] = a.target.ID
	}
	return ids
}

// Empty reports whether the batch has nothing to write or send.
func (b *Batch) Empty() bool {
	return len(b.Entries) == 0 && len(b.Orders) == 0 && len(b.HostOrders) == 0 && len(b.acks) == 0
}

// TakeOrders returns the orders that need no record.
func (t *Table) TakeOrders() []Order {
	o := t.orders
	t.orders = nil
	return o
}

// Flush takes all that has changed since the last batch.
func (t *Table) Flush(now time.Duration) (*Batch, error) {
	b := &Batch{removed: t.removedKeys}
	b.jobs, b.Orders = t.takeRecordable(now)
	t.removedKeys = nil
	for _, key := range b.removed {
		b.Entries = append(b.Entries, Entry{Key: key})
	}
	for _, j := range b.jobs {
		j.dirty, j.recordAfter = false, 0
		entries, err := t.encodeProgress(j)
		if err != nil {
			return nil, err
		}
		b.Entries = append(b.Entries, entries...)
		b.states = append(b.states, j.state)
		b.cancelled = append(b.cancelled, j.cancelled)
	}
	if err := t.flushHosts(b, now); err != nil {
		return nil, err
	}
	if err := t.flushRunStats(b, now); err != nil {
		return nil, err
	}
	if len(b.Entries) > 0 {
		t.unwrittenSince = now
	}
	for _, tgt := range t.sortedTargets {
		if tgt.lastAppliedEnd > tgt.lastRecordedEnd {
			b.acks = append(b.acks, ack{target: tgt, incarnation: tgt.incarnation, number: tgt.lastAppliedEnd})
		}
	}
	if len(t.dirty) > 0 {
		b.acks = t.withoutHeldEnds(b.acks)
	}
	return b, nil
}

// statsInterval is how often the statistics of runs are recorded; they change slowly.
const statsInterval = 2 * time.Second

// maxRecordedQueues bounds the record of statistics; queues with fewer runs are left out.
const maxRecordedQueues = 1000

// flushRunStats adds the statistics of runs to a batch that has other records too.
func (t *Table) flushRunStats(b *Batch, now time.Duration) error {
	if len(b.Entries) == 0 || now-t.statsRecordedAt < statsInterval {
		return nil
	}
	record := work.RunStatsRecord{}
	for _, queue := range slices.Sorted(maps.Keys(t.runStatsByQueue)) {
		if s := t.runStatsByQueue[queue]; s.runs > 0 {
			record.Queues = append(record.Queues, work.QueueRunStats{Queue: queue, Runs: s.runs, Mean: s.mean, Variance: s.variance, Bias: s.bias, ErrorVariance: s.errorVariance})
		}
	}
	if len(record.Queues) == 0 {
		return nil
	}
	value, err := t.encodeRunStats(&record)
	if err != nil {
		return err
	}
	t.statsRecordedAt = now
	b.Entries = append(b.Entries, Entry{Key: statsKey, Value: value})
	return t.flushLearned(b)
}

// encodeRunStats encodes the statistics of the queues with the most runs, as many as fit a record.
func (t *Table) encodeRunStats(record *work.RunStatsRecord) ([]byte, error) {
	slices.SortStableFunc(record.Queues, func(a, b work.QueueRunStats) int { return cmp.Compare(b.Runs, a.Runs) })
	record.Queues = record.Queues[:min(len(record.Queues), maxRecordedQueues)]
	for {
		value, err := work.Encode(record)
		if err != nil || t.recordLimit == 0 || 1+len(statsKey)+len(value) <= t.recordLimit || len(record.Queues) == 0 {
			return value, err
		}
		record.Queues = record.Queues[:len(record.Queues)/2]
	}
}

// flushHosts adds the records of host orders, of the clocks that date them, and of waves.
func (t *Table) flushHosts(b *Batch, now time.Duration) error {
	b.HostOrders = t.issuedHostOrders
	t.issuedHostOrders = nil
	for _, o := range b.HostOrders {
		value, err := work.Encode(&work.HostOrderRecord{Pool: o.Pool, Wave: o.Wave, FencingToken: t.token, Node: t.node, IssuedMs: t.processMs(now)})
		if err != nil {
			return err
		}
		b.Entries = append(b.Entries, Entry{Key: hostPrefix + o.Host, Value: value})
	}
	if len(b.HostOrders) > 0 {
		value, err := work.Encode(t.clockRecord(now))
		if err != nil {
			return err
		}
		b.Entries = append(b.Entries, Entry{Key: clockKey, Value: value})
	}
	for _, w := range t.waveList {
		if !w.dirty || now < w.recordAfter {
			continue
		}
		value, err := t.encodeWave(w)
		if err != nil {
			return err
		}
		w.dirty = false
		b.waves = append(b.waves, waveRecord{wave: w, completed: w.completed})
		b.Entries = append(b.Entries, Entry{Key: waveKey(w.Number), Value: value})
	}
	return nil
}

func waveKey(number int64) string { return wavePrefix + strconv.FormatInt(number, 10) }

// encodeWave encodes a wave's progress. If a wave that was announced again and again has outgrown a record, the hosts are left out that the present announcement does not name: it fits a record itself, and its hosts' names take less room here.
func (t *Table) encodeWave(w *waveState) ([]byte, error) {
	p := &work.WaveProgress{Completed: w.completed, Started: slices.Sorted(maps.Keys(w.begun))}
	value, err := work.Encode(p)
	if err != nil || t.recordLimit == 0 || 1+len(waveKey(w.Number))+len(value) <= t.recordLimit {
		return value, err
	}
	named := map[string]bool{"": true}
	for _, name := range w.Hosts {
		named[name] = true
	}
	p.Started = slices.DeleteFunc(p.Started, func(name string) bool { return !named[name] })
	return work.Encode(p)
}

// Flushed records that the store holds a batch.
func (t *Table) Flushed(b *Batch) {
	t.unwrittenSince = 0
	for i, j := range b.jobs {
		j.recordedState, j.recordedCancelled = b.states[i], b.cancelled[i]
		if j.recordedState.Final() && !t.hasRuns(j) {
			j.occurrences = nil
		}
	}
	t.forgetRemoved(b.removed)
	for _, r := range b.waves {
		// A wave may have been reopened since the batch was made.
		r.wave.recordedCompleted = r.completed && r.wave.completed
	}
	for _, a := range b.acks {
		if a.target.incarnation == a.incarnation {
			a.target.lastRecordedEnd = max(a.target.lastRecordedEnd, min(a.number, a.target.lastAppliedEnd))
		}
	}
}
