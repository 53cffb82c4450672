package sched

import (
	"fmt"
	"sort"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// ApplyHostList applies the cloud's host list that was requested at the given time. A list that leaves out a host which may be away for an order does not show that it is gone.
func (t *Table) ApplyHostList(list []work.Host, sent, now time.Duration) {
	present := make(map[string]bool, len(list))
	for i := range list {
		present[list[i].Name] = true
		t.applyHost(&list[i], sent, now)
	}
	for name, h := range t.hosts {
		switch {
		case present[name]:
			h.missingSince = 0
		case !h.isOrderedAway():
			t.removeHost(h, now)
		case h.missingSince == 0:
			h.missingSince = sent
		case sent-h.missingSince >= goneHostDelay:
			t.removeHost(h, now)
		}
	}
	for _, w := range t.waveList {
		w.updateMissing(present, sent)
	}
	t.hostsListed = true
	t.markEvacuated()
	t.dropMissingTargets(list, sent, now)
	sort.Slice(t.sortedHosts, func(a, b int) bool { return t.sortedHosts[a].Name < t.sortedHosts[b].Name })
}

// missingTimeout is how long an unreachable target has to be missing from the host list before it counts as gone; the list lags by less than a second.
const missingTimeout = 2 * time.Second

// dropMissingTargets treats targets as gone that do not answer and have belonged to no host in the list for missingTimeout.
func (t *Table) dropMissingTargets(list []work.Host, sent, now time.Duration) {
	present := make(map[work.TargetID]bool, len(list))
	for i := range list {
		if list[i].State == work.HostUp {
			present[list[i].Target] = true
		}
	}
	if !t.isCredibleList(present) {
		return
	}
	for _, tgt := range t.sortedTargets {
		switch {
		case present[tgt.ID] || (tgt.acquired && !tgt.unreachable):
			tgt.missingSince = 0
		case tgt.missingSince == 0:
			tgt.missingSince = sent
		case sent-tgt.missingSince >= missingTimeout:
			t.handleGoneTarget(tgt.ID, now, "missing from the host list", true)
		}
	}
}

// isCredibleList reports whether a list shows most of the targets that answer. An empty list, or one of other hosts, says nothing about the targets that do not answer.
func (t *Table) isCredibleList(present map[work.TargetID]bool) bool {
	answering, shown := 0, 0
	for _, tgt := range t.sortedTargets {
		if tgt.acquired && !tgt.unreachable {
			answering++
			if present[tgt.ID] {
				shown++
			}
		}
	}
	return shown > 0 && 4*shown >= 3*answering
}

func (t *Table) removeHost(h *host, _ time.Duration) {
	delete(t.hosts, h.Name)
	if h.lastIssued.FencingToken != 0 {
		t.hostRecords[h.Name] = h.lastIssued
	}
	for i, o := range t.sortedHosts {
		if o == h {
			t.sortedHosts = append(t.sortedHosts[:i], t.sortedHosts[i+1:]...)
			break
		}
	}
	if tgt, ok := t.targets[h.Target]; ok {
		tgt.cordoned = false
	}
}

// applyHost applies a host's entry in a list that was requested at the given time.
func (t *Table) applyHost(w *work.Host, sent, now time.Duration) {
	h, ok := t.hosts[w.Name]
	if !ok {
		h = &host{}
		h.lastIssued = t.hostRecords[w.Name]
		t.hosts[w.Name] = h
		t.sortedHosts = append(t.sortedHosts, h)
	}
	oldTarget := h.Target
	if (oldTarget != w.Target || w.State == work.HostDown) && t.answersSince(oldTarget, sent) {
		// The target was up after the list was made; if it has ended since, the next list shows it too.
		return
	}
	h.Host, h.listedAt = *w, now
	if tgt, ok := t.targets[w.Target]; ok {
		tgt.hostZone = w.Zone
	}
	if oldTarget != "" && oldTarget != w.Target {
		t.handleGoneTarget(oldTarget, now, "host has a new target", !h.isOrderedAway())
		if w.State != work.HostDown {
			t.forgetDelayedStarts(oldTarget)
		}
	}
	if w.State == work.HostDown && w.Target != "" {
		t.handleGoneTarget(w.Target, now, "host is down", true)
	}
	if o := h.order; o != nil && t.isComplete(o, w, sent) {
		t.logEvent("back", h.Name, orderName(o.HostOrder), string(w.Target))
		h.order = nil
		h.notBefore = now
		t.setCordoned(h, false)
	}
}

// isComplete reports whether a host's entry in a list that was requested at the given time shows that its order has been carried out and the host is back.
func (t *Table) isComplete(o *pendingOrder, w *work.Host, sent time.Duration) bool {
	if w.State != work.HostUp || sent < o.stageSince {
		return false
	}
	switch {
	case o.stage == stageDraining:
		return o.Wave == 0 && w.Pool == o.Pool
	case o.stage != stageAway:
		return false
	case w.Target != o.oldTarget:
		return sent > o.stageSince+maxHostListLag
	}
	return t.answersSince(w.Target, o.stageSince) || sent > o.stageSince+t.expectedAbsence(o)+absenceSlack
}

// answersSince reports whether the target has answered a renewal that was sent after the given time.
func (t *Table) answersSince(id work.TargetID, at time.Duration) bool {
	tgt, ok := t.targets[id]
	return ok && tgt.acquired && tgt.readingSentAt > at
}

// isOrderedAway reports whether the host may be away for an order, of this holder or of an earlier one, so that its target's end is no crash.
func (h *host) isOrderedAway() bool {
	return h.State == work.HostMoving || h.State == work.HostMaintenance || (h.order != nil && (h.order.stage != stageDraining || h.order.maybeExecuted))
}

// maxHostListLag is how far the host list may be behind the orders that the cloud has confirmed.
const maxHostListLag = time.Second

// absenceSlack is how much longer than promised a host may be away before one that is listed with its old target is taken to be back.
const absenceSlack = 3 * time.Second

// expectedAbsence is how long the host is promised to be away.
func (t *Table) expectedAbsence(o *pendingOrder) time.Duration {
	if o.Wave > 0 {
		return t.bounds.MaintenanceTime
	}
	return t.bounds.MoveTime
}

// forgetDelayedStarts forgets the starts that might still be delivered to a target whose host has another one now. The target has no later incarnation that could get them; one whose host is only down may come back under its name.
func (t *Table) forgetDelayedStarts(id work.TargetID) {
	if tgt, ok := t.targets[id]; ok {
		tgt.revoked, tgt.unanswered = nil, nil
	}
}

// describe says what this holder knows of a target, and how long ago the target last answered, -1 for never.
func (t *target) describe(now time.Duration) string {
	answered := int64(-1)
	if t.answeredAt > 0 {
		answered = (now - t.answeredAt).Milliseconds()
	}
	return fmt.Sprintf("%s runs=%d draining=%t unreachable=%t answeredMs=%d", t.Pool, len(t.runs), t.Draining, t.unreachable, answered)
}

// handleGoneTarget unlists a target that has certainly ended, and requeues the items that ran there. A target that did not end by an order has crashed, unless it was draining.
func (t *Table) handleGoneTarget(id work.TargetID, now time.Duration, cause string, crashed bool) {
	tgt, ok := t.targets[id]
	if !ok || (!tgt.listed && len(tgt.runs) == 0) {
		return
	}
	t.logEvent("gone", string(id), cause, tgt.describe(now))
	var guilty []*item
	if crashed && !tgt.Draining {
		guilty = t.recordCrash(tgt, now)
	}
	defer t.failGuilty(guilty, now)
	for len(tgt.runs) > 0 {
		t.logInterrupted(tgt.runs[0], cause, now)
		t.loseRun(tgt.runs[0], now)
	}
	// The target may come back under its name, and an unanswered start may then reach it.
	tgt.revokeUnanswered(now)
	t.releaseTrialTarget(tgt)
	tgt.forgetIncarnation()
	tgt.listed = false
	t.targetsByPool = nil
}
