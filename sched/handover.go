package sched

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// PredecessorClock relates the process time of an earlier holder to this process's clock. Orders for hosts are dated by process time, because the time of day of a host may jump by seconds.
type PredecessorClock struct {
	// Epoch is the earlier holder's epoch, 0 if none is known.
	Epoch int64
	// FencedMs is the earlier holder's process time when the holders before it could no longer record anything, 0 if it is not known.
	FencedMs int64
	// ReadingMs is the earlier holder's process time in a reply that arrived at ReadAt.
	ReadingMs int64
	ReadAt    time.Duration
}

// maxProcessTimeError is how much the process times of two hosts may differ: the platform expects the time of day to jump by up to 5 s on each of them, and a process that starts after a jump keeps it.
const maxProcessTimeError = 10 * time.Second

// minOrderAge returns a lower bound for the time since an earlier holder recorded an order for a host. Both issuedMs and processMs, the present time, are process times, but of different processes.
func (c PredecessorClock) minOrderAge(token, issuedMs, processMs int64, now time.Duration) time.Duration {
	unknown := time.Duration(processMs-issuedMs)*time.Millisecond - maxProcessTimeError
	return max(unknown, c.knownOrderAge(token, issuedMs, now))
}

// knownOrderAge returns the lower bound that follows from the earlier holder's heartbeat replies, 0 if there were none.
func (c PredecessorClock) knownOrderAge(token, issuedMs int64, now time.Duration) time.Duration {
	switch {
	case c.Epoch == 0 || token > c.Epoch:
		return 0
	case token < c.Epoch && c.FencedMs == 0:
		return 0
	case token < c.Epoch:
		issuedMs = c.FencedMs
	}
	return time.Duration(c.ReadingMs-issuedMs)*time.Millisecond + now - c.ReadAt
}

// handoverDelay is how long a holder waits before it orders a host that another holder ordered last: until this time has passed since that order, or since the earlier holders could no longer record one. It is the gap that the cloud requires between the orders of two holders, and a second for an order that the other holder sends late or that is in flight.
func (t *Table) handoverDelay() time.Duration { return t.bounds.HostTakeoverDelay + time.Second }

// mayOrder reports whether this holder may order the host now.
func (t *Table) mayOrder(h *host, now time.Duration) bool {
	if now < h.notBefore {
		return false
	}
	return (h.lastIssued.Node == t.node && t.node != "") || !t.earlierOrderUnderWay(h, now)
}

// earlierOrderUnderWay reports whether the host's last order by an earlier holder may still reach the cloud.
func (t *Table) earlierOrderUnderWay(h *host, now time.Duration) bool {
	last := h.lastIssued
	if last.FencingToken == 0 || last.FencingToken == t.token {
		return false
	}
	age := max(
		now-t.fencedAt,
		t.predecessor.minOrderAge(last.FencingToken, last.IssuedMs, t.processMs(now), now),
		t.recordedOrderAge(last.FencingToken, last.IssuedMs, now),
	)
	return age <= t.handoverDelay()
}

// maxRecordedClocks is how many targets' clocks are recorded; some of the targets may be gone when a successor reads the record.
const maxRecordedClocks = 8

// clockRecord returns what the holder knows of targets' clocks. Targets with serving items come first, because their hosts stay longest.
func (t *Table) clockRecord(now time.Duration) *work.HolderClockRecord {
	r := &work.HolderClockRecord{FencingToken: t.token, ProcessMs: t.processMs(now)}
	for _, serving := range []bool{true, false} {
		for _, tgt := range t.sortedTargets {
			if len(r.Clocks) == maxRecordedClocks {
				return r
			}
			if tgt.acquired && tgt.incarnation != 0 && tgt.readingMs > 0 && tgt.hasServingItem() == serving {
				// The clock was read after the renewal was sent, and never runs fast.
				r.Clocks = append(r.Clocks, work.TargetClock{Target: tgt.ID, StartedMs: tgt.incarnation, ClockMs: tgt.readingMs + (now - tgt.readingSentAt).Milliseconds() + 1})
			}
		}
	}
	return r
}

// recordedOrderAge returns a lower bound for the time since an earlier holder recorded an order for a host, by the targets' clocks that its last batch of such orders recorded; it is 0 if none of these targets has answered yet.
func (t *Table) recordedOrderAge(token, issuedMs int64, now time.Duration) time.Duration {
	r := &t.earlierClocks
	if token > r.FencingToken {
		return 0
	}
	if token < r.FencingToken {
		// The order was recorded before the holder of the record could record anything.
		issuedMs = r.ProcessMs
	}
	var elapsed time.Duration
	for _, c := range r.Clocks {
		tgt, ok := t.targets[c.Target]
		if !ok || !tgt.acquired || tgt.incarnation != c.StartedMs || tgt.clockAt == 0 {
			continue
		}
		clock := time.Duration(tgt.clockMs-c.ClockMs)*time.Millisecond + time.Duration(float64(now-tgt.clockAt)*minClockRate)
		elapsed = max(elapsed, clock)
	}
	if elapsed == 0 {
		return 0
	}
	return elapsed + time.Duration(r.ProcessMs-issuedMs)*time.Millisecond
}

// RecordFence records that earlier holders cannot record anything more.
func (t *Table) RecordFence(now time.Duration) { t.fencedAt = now }

// processMs returns the process time at the given time.
func (t *Table) processMs(now time.Duration) int64 { return t.processOriginMs + now.Milliseconds() }
