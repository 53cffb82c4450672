package sched

import (
	"slices"
	"strings"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Records that the store refuses for what they contain hold up only what they are about. A job whose progress is refused keeps its orders and its targets the ends of its items until a later record of the job is written.

// refusedRecordPause is the pause before a job or a wave is recorded again after the store has refused its record.
const refusedRecordPause = 2 * time.Second

// Refused removes from a batch what belongs to the records that the store has refused; it is called before Flushed.
func (t *Table) Refused(b *Batch, keys []string, now time.Duration) {
	jobs, hosts := map[work.JobID]bool{}, map[string]bool{}
	for _, key := range keys {
		if id, _, ok := parseSectionKey(key); ok {
			jobs[id] = true
		}
		if IsJobKey(key) {
			jobs[work.JobID(key)] = true
		}
		if name, ok := strings.CutPrefix(key, hostPrefix); ok {
			hosts[name] = true
		}
		if number, ok := strings.CutPrefix(key, wavePrefix); ok {
			t.refuseWave(b, number, now)
		}
		t.logEvent("recordRefused", key, "the store refuses the record", "")
	}
	t.refuseJobs(b, jobs, now)
	b.removed = slices.DeleteFunc(b.removed, func(key string) bool { return slices.Contains(keys, key) })
	b.HostOrders = slices.DeleteFunc(b.HostOrders, func(o HostOrder) bool {
		if hosts[o.Host] {
			t.cancelHostOrder(o, now)
		}
		return hosts[o.Host]
	})
}

// refuseJobs puts jobs back whose progress was refused, with their orders, and withdraws the acknowledgements of their ends.
func (t *Table) refuseJobs(b *Batch, ids map[work.JobID]bool, now time.Duration) {
	if len(ids) == 0 {
		return
	}
	written := 0
	for n, j := range b.jobs {
		if !ids[j.record.ID] {
			b.jobs[written], b.states[written], b.cancelled[written] = j, b.states[n], b.cancelled[n]
			written++
			continue
		}
		j.recordAfter = now + refusedRecordPause
		for i := range j.sections {
			j.sections[i].hash = 0
		}
		t.markDirty(j)
	}
	b.jobs, b.states, b.cancelled = b.jobs[:written], b.states[:written], b.cancelled[:written]
	b.Orders = slices.DeleteFunc(b.Orders, func(o Order) bool {
		s, isStart := o.(StartOrder)
		if !isStart || !ids[s.Start.Item.Job] {
			return false
		}
		if j, ok := t.jobs[s.Start.Item.Job]; ok {
			j.heldOrders = append(j.heldOrders, o)
		}
		return true
	})
	b.acks = t.withoutHeldEnds(b.acks)
}

// refuseWave has a wave recorded again later.
func (t *Table) refuseWave(b *Batch, number string, now time.Duration) {
	b.waves = slices.DeleteFunc(b.waves, func(r waveRecord) bool {
		if waveKey(r.wave.Number) != wavePrefix+number {
			return false
		}
		r.wave.dirty, r.wave.recordAfter = true, now+refusedRecordPause
		return true
	})
}

// cancelHostOrder gives up an order whose record was refused, so that it is not sent.
func (t *Table) cancelHostOrder(o HostOrder, now time.Duration) {
	h, ok := t.hosts[o.Host]
	if !ok || h.order == nil || h.order.HostOrder != o {
		return
	}
	h.order = nil
	h.notBefore = now + refusedRecordPause
	t.setCordoned(h, false)
}

// takeRecordable returns the jobs whose progress may be recorded now, and keeps the others with their orders.
func (t *Table) takeRecordable(now time.Duration) (jobs []*job, orders []Order) {
	dirty, starts := t.dirty, t.pendingStarts
	t.dirty, t.pendingStarts = nil, nil
	for _, j := range dirty {
		if now < j.recordAfter {
			t.dirty = append(t.dirty, j)
			continue
		}
		jobs = append(jobs, j)
		orders = append(orders, j.heldOrders...)
		j.heldOrders = nil
	}
	for _, o := range starts {
		if s, ok := o.(StartOrder); ok {
			if j, known := t.jobs[s.Start.Item.Job]; known && now < j.recordAfter {
				j.heldOrders = append(j.heldOrders, o)
				continue
			}
		}
		orders = append(orders, o)
	}
	return jobs, orders
}

// withoutHeldEnds limits acknowledgements to the ends before the first one of a job that waits to be recorded again. A target forgets all ends up to the number that is acknowledged.
func (t *Table) withoutHeldEnds(acks []ack) []ack {
	first := map[*target]int64{}
	for _, j := range t.dirty {
		if j.recordAfter == 0 {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				for it := range s.known() {
					tgt := it.endedOn
					if tgt == nil || it.endIncarnation != tgt.incarnation || it.endNumber <= tgt.lastRecordedEnd {
						continue
					}
					if n, known := first[tgt]; !known || it.endNumber < n {
						first[tgt] = it.endNumber
					}
				}
			}
		}
	}
	kept := acks[:0]
	for _, a := range acks {
		if n, held := first[a.target]; held {
			a.number = min(a.number, n-1)
		}
		if a.number > a.target.lastRecordedEnd {
			kept = append(kept, a)
		}
	}
	return kept
}

// noteEnd notes the last end of the item that a target has listed, which is recorded with the job's progress.
func (it *item) noteEnd(tgt *target, number int64) {
	it.endedOn, it.endIncarnation, it.endNumber = tgt, tgt.incarnation, number
}
