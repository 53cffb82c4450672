package sched

import (
	"strconv"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Entry is a record to be written under a key.
type Entry struct {
	Key   string
	Value []byte
}

// Batch is what has to be written before its orders and acknowledgements may leave.
type Batch struct {
	Entries []Entry
	Orders  []Order
	// HostOrders are for the cloud.
	HostOrders []HostOrder
	jobs       []*job
	states     []work.State
	acks       []ack
	waves      []*waveRow
}

type ack struct {
	target *target
	born   int64
	number int64
}

// Jobs returns the identifiers of the jobs whose progress the batch holds.
func (b *Batch) Jobs() []work.JobID {
	ids := make([]work.JobID, len(b.jobs))
	for i, j := range b.jobs {
		ids[i] = j.rec.ID
	}
	return ids
}

// Empty reports whether nothing is to be written.
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
	b := &Batch{Orders: t.held, jobs: t.dirty}
	t.held, t.dirty = nil, nil
	for _, j := range b.jobs {
		j.dirty = false
		value, err := work.Encode(j.progress())
		if err != nil {
			return nil, err
		}
		b.Entries = append(b.Entries, Entry{Key: string(j.rec.ID), Value: value})
		b.states = append(b.states, j.state)
	}
	if err := t.flushHosts(b, now); err != nil {
		return nil, err
	}
	for _, row := range t.order {
		if row.seen > row.recorded {
			b.acks = append(b.acks, ack{target: row, born: row.born, number: row.seen})
		}
	}
	return b, nil
}

// flushHosts adds the records of hosts' orders and of waves.
func (t *Table) flushHosts(b *Batch, now time.Duration) error {
	b.HostOrders = t.hostOrders
	t.hostOrders = nil
	for _, o := range b.HostOrders {
		value, err := work.Encode(&work.HostOrderRecord{Pool: o.Pool, Wave: o.Wave, FencingToken: t.token, Node: t.node, IssuedMs: t.wallMs(now)})
		if err != nil {
			return err
		}
		b.Entries = append(b.Entries, Entry{Key: hostPrefix + o.Host, Value: value})
	}
	for _, w := range t.waveOrder {
		if !w.dirty {
			continue
		}
		p := &work.WaveProgress{Completed: w.completed}
		for _, name := range w.Hosts {
			if w.begun[name] {
				p.Started = append(p.Started, name)
			}
		}
		value, err := work.Encode(p)
		if err != nil {
			return err
		}
		w.dirty = false
		b.waves = append(b.waves, w)
		b.Entries = append(b.Entries, Entry{Key: wavePrefix + strconv.FormatInt(w.Number, 10), Value: value})
	}
	return nil
}

// Flushed notes that the store holds a batch.
func (t *Table) Flushed(b *Batch) {
	for i, j := range b.jobs {
		j.shown = b.states[i]
		if j.shown.Final() && !t.running(j) {
			j.occs = nil
		}
	}
	for _, a := range b.acks {
		if a.target.born == a.born {
			a.target.recorded = max(a.target.recorded, min(a.number, a.target.seen))
		}
	}
}

// progress returns the job's record.
func (j *job) progress() *work.JobProgress {
	p := &work.JobProgress{State: j.state, Cancelled: j.cancelled, EndedMs: j.endedMs}
	final := j.state.Final()
	for _, o := range j.occs {
		for _, s := range o.steps {
			for _, i := range s.items {
				if i.run == 0 || (final && i.target == nil) {
					continue
				}
				ip := work.ItemProgress{
					Occurrence: o.index, Step: s.index, Index: i.id.Index,
					Done: i.state == itemEnded, Run: i.run, Failures: i.failures,
				}
				if i.target != nil {
					ip.Target = i.target.ID
				}
				if s.spec.Checkpointing && i.state != itemEnded {
					ip.Checkpoint = i.checkpoint
				}
				p.Items = append(p.Items, ip)
			}
		}
	}
	return p
}
