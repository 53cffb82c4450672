package sched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Entries that contradict what a target has answered. Other writers may write entries under any key and with any address, so that an entry alone ends no incarnation: the processes at the addresses are asked, and answer only to their own names.

// disputedEntry is an entry that gives another start or another address than the target itself, which has answered this holder.
type disputedEntry struct {
	work.Target
	// readAt is when the entry was read. A reply to a renewal that was sent later settles the dispute.
	readAt time.Duration
}

// disputeInterval is the least time between two disputes over entries of one target, so that an entry that is repeated cannot keep the target from being told which ends to forget. It is longer than a renewal takes, with its poll.
const disputeInterval = 2 * time.Second

// contradicts reports whether an entry gives another start or another address than the target, which has answered this holder and may still run something or has answered the last call.
func (t *target) contradicts(w *work.Target) bool {
	if !t.acquired || t.Address == "" || (t.unreachable && len(t.runs) == 0) {
		return false
	}
	return w.Address != t.Address || (w.StartedMs != 0 && t.incarnation != 0 && w.StartedMs != t.incarnation)
}

// dispute keeps an entry that contradicts its target, until the target has answered or can no longer run anything.
func (t *Table) dispute(tgt *target, w *work.Target, now time.Duration) {
	former, open := t.disputed[w.ID]
	switch {
	case open && former.Address == w.Address && former.StartedMs == w.StartedMs:
		t.disputed[w.ID] = disputedEntry{Target: *w, readAt: former.readAt}
		return
	case !open && tgt.disputedAt != 0 && now-tgt.disputedAt < disputeInterval:
		return
	}
	tgt.disputed, tgt.disputedAt = true, now
	t.disputed[w.ID] = disputedEntry{Target: *w, readAt: now}
	t.logEvent("disputed", string(w.ID), "entry contradicts the target", fmt.Sprintf("address=%s born=%d answered=%s born=%d", w.Address, w.StartedMs, tgt.Address, tgt.incarnation))
}

// settleDispute drops a disputed entry that the target's reply to a renewal sent at the given time has refuted.
func (t *Table) settleDispute(tgt *target, sent time.Duration) {
	if d, open := t.disputed[tgt.ID]; open && sent >= d.readAt && tgt.contradicts(&d.Target) {
		t.endDispute(tgt.ID)
	}
}

func (t *Table) endDispute(id work.TargetID) {
	delete(t.disputed, id)
	if tgt, known := t.targets[id]; known {
		tgt.disputed = false
	}
}

// applySettledEntries applies the disputed entries that their targets no longer contradict.
func (t *Table) applySettledEntries(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(t.disputed)) {
		d := t.disputed[id]
		if tgt, known := t.targets[id]; known && tgt.contradicts(&d.Target) {
			continue
		}
		t.endDispute(id)
		t.UpsertTarget(d.Target, now)
	}
}

// settleAddress treats the target that had the address before as gone, because another one has answered there a renewal that was sent at the given time. An address has one target at a time. A target that has answered since then is not gone yet, and a later reply settles it.
func (t *Table) settleAddress(tgt *target, sent, now time.Duration) {
	former := t.targetByAddress[tgt.Address]
	if former == tgt || tgt.Address == "" {
		return
	}
	if former != nil && t.targets[former.ID] == former && former.Address == tgt.Address {
		if former.acquired && former.answeredAt >= sent {
			return
		}
		if former.entryOfAnotherStart() {
			t.unlistFalseEntry(former)
			t.targetByAddress[tgt.Address] = tgt
			return
		}
		t.handleGoneTarget(former.ID, now, "another target answers at its address", !t.isOrderedAway(former))
		t.forgetDelayedStarts(former.ID)
	}
	t.targetByAddress[tgt.Address] = tgt
}

// isOrderedAway reports whether the target's host may be away for an order.
func (t *Table) isOrderedAway(tgt *target) bool {
	for _, h := range t.sortedHosts {
		if h.Target == tgt.ID && h.isOrderedAway() {
			return true
		}
	}
	return false
}

// entryOfAnotherStart reports whether the target's entry gives another start than that of the runs which this holder has taken over, so that an answer from its address says nothing about them.
func (t *target) entryOfAnotherStart() bool {
	if t.acquired || t.StartedMs == 0 {
		return false
	}
	return slices.ContainsFunc(t.runs, func(it *item) bool { return it.incarnation != 0 && it.incarnation != t.StartedMs })
}

// unlistFalseEntry unlists a target at whose address another one answers, and keeps what it may run until its lease has expired or it reports itself.
func (t *Table) unlistFalseEntry(tgt *target) {
	t.logEvent("unlisted", string(tgt.ID), "another target answers at the address of an entry with another start", tgt.Address)
	tgt.listed = false
	t.targetsByPool = nil
}
