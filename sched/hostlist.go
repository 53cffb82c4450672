package sched

import (
	"sort"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// ApplyHostList applies the cloud's list that was asked for at the given time.
func (t *Table) ApplyHostList(list []work.Host, sent, now time.Duration) {
	present := make(map[string]bool, len(list))
	for i := range list {
		present[list[i].Name] = true
		t.listHost(&list[i], sent, now)
	}
	for name, h := range t.hosts {
		if !present[name] {
			t.removeHost(h, now)
		}
	}
	t.hostsRead = true
	t.missing(list, sent, now)
	sort.Slice(t.hostOrder, func(a, b int) bool { return t.hostOrder[a].Name < t.hostOrder[b].Name })
}

// missingFor is how long a silent target has to be missing from the list of hosts to be taken for gone; the list lags by less than a second.
const missingFor = 2 * time.Second

// missing gives up targets that do not answer and that no host has.
func (t *Table) missing(list []work.Host, sent, now time.Duration) {
	present := make(map[work.TargetID]bool, len(list))
	for i := range list {
		if list[i].State == work.HostUp {
			present[list[i].Target] = true
		}
	}
	if !t.credible(present) {
		return
	}
	for _, row := range t.order {
		switch {
		case present[row.ID] || (row.held && !row.silent):
			row.missingSince = 0
		case row.missingSince == 0:
			row.missingSince = sent
		case sent-row.missingSince >= missingFor:
			t.targetGone(row.ID, now, "no host has it")
		}
	}
}

// credible reports whether a list shows most of the targets that answer; an empty page or another writer's is no news of those that do not.
func (t *Table) credible(present map[work.TargetID]bool) bool {
	answering, shown := 0, 0
	for _, row := range t.order {
		if row.held && !row.silent {
			answering++
			if present[row.ID] {
				shown++
			}
		}
	}
	return shown > 0 && 4*shown >= 3*answering
}

func (t *Table) removeHost(h *host, _ time.Duration) {
	delete(t.hosts, h.Name)
	for i, o := range t.hostOrder {
		if o == h {
			t.hostOrder = append(t.hostOrder[:i], t.hostOrder[i+1:]...)
			break
		}
	}
	if row, ok := t.targets[h.Target]; ok {
		row.leaving = false
	}
}

func (t *Table) listHost(w *work.Host, sent, now time.Duration) {
	h, ok := t.hosts[w.Name]
	if !ok {
		h = &host{}
		h.last = t.hostRecords[w.Name]
		h.unsure = h.last.FencingToken != 0
		t.hosts[w.Name] = h
		t.hostOrder = append(t.hostOrder, h)
	}
	former := h.Target
	h.Host, h.listedAt = *w, now
	if former != "" && former != w.Target {
		h.unsure = h.unsure && h.order != nil && h.order.Wave > 0
		t.targetGone(former, now, "host has a new target")
	}
	if w.State == work.HostDown && w.Target != "" {
		t.targetGone(w.Target, now, "host is down")
	}
	if o := h.order; o != nil && o.stage == stageAway && sent > o.since && w.State == work.HostUp && (w.Target != o.former || sent > o.since+t.awayTime(o)+awaySlack) {
		t.note("back", h.Name, orderName(o.HostOrder), string(w.Target))
		h.order = nil
		h.notBefore = now
	}
}

// awaySlack is how much longer than promised a host may be away before its old target in the list is taken for its new one.
const awaySlack = 3 * time.Second

func (t *Table) awayTime(o *pendingOrder) time.Duration {
	if o.Wave > 0 {
		return t.bounds.MaintenanceTime
	}
	return t.bounds.MoveTime
}

// targetGone gives up a target that has ended for certain.
func (t *Table) targetGone(id work.TargetID, now time.Duration, cause string) {
	row, ok := t.targets[id]
	if !ok || (!row.listed && len(row.runs) == 0) {
		return
	}
	t.note("gone", string(id), cause, row.Pool)
	for len(row.runs) > 0 {
		t.lose(row.runs[0], now)
	}
	row.listed, row.held, row.expireBy = false, false, 0
	t.inPool = nil
	row.strays = work.Resources{}
}
