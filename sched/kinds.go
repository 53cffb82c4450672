package sched

import (
	"slices"
	"time"
)

// Hosts of a kind, for steps that only targets with a label may run: a pool of the right size may have none of them.

// kindPatience is how long a step waits for targets of its kind before its pool gets more of them; most items run for about a second.
const kindPatience = time.Second

// kindNeed is a label that steps of a pool ask for.
type kindNeed struct {
	label string
	// stuck is the amount of items that find no room, in thousandths of a core, and since when the first of them does.
	stuck int64
	since time.Duration
}

// needKind notes that a step with work left asks for a label.
func (p *poolRow) needKind(s *step, waiting int, size int64) {
	n := slices.IndexFunc(p.kinds, func(k kindNeed) bool { return k.label == s.spec.RequiredLabel })
	if n < 0 {
		p.kinds = append(p.kinds, kindNeed{label: s.spec.RequiredLabel})
		n = len(p.kinds) - 1
	}
	if k := &p.kinds[n]; waiting > 0 && s.stuckSince > 0 {
		k.stuck += int64(waiting) * size
		if k.since == 0 || s.stuckSince < k.since {
			k.since = s.stuckSince
		}
	}
}

// has reports whether the host carries a label.
func (h *host) has(label string) bool { return slices.Contains(h.Labels, label) }

// ofKind counts the pool's hosts with a label.
func (p *poolRow) ofKind(label string) int {
	n := 0
	for _, h := range p.hosts {
		if h.has(label) {
			n++
		}
	}
	return n
}

// lastOfKind reports whether the pool would have no host left of a kind that it needs without this one.
func (p *poolRow) lastOfKind(h *host) bool {
	for _, k := range p.kinds {
		if h.has(k.label) && p.ofKind(k.label) <= 1 {
			return true
		}
	}
	return false
}

// moveKinds moves hosts of the kinds that pools lack: at once where there is none, otherwise after some patience.
func (t *Table) moveKinds(rows []*poolRow, givers []*host, now time.Duration) []*host {
	for _, p := range rows {
		for _, k := range p.kinds {
			if k.stuck == 0 || t.comingOfKind(p, k.label) || (p.ofKind(k.label) > 0 && now-k.since < kindPatience) {
				continue
			}
			for more := int((k.stuck + p.cores - 1) / max(p.cores, 1)); more > 0; more-- {
				n := slices.IndexFunc(givers, func(h *host) bool {
					return h.Pool != p.name && h.has(k.label) && !t.barred[h.Name+"/"+p.name]
				})
				if n < 0 {
					break
				}
				t.move(givers[n], p.name, now)
				p.coming++
				givers = slices.Delete(givers, n, n+1)
			}
		}
	}
	return givers
}

// comingOfKind reports whether a host with the label is on its way to the pool.
func (t *Table) comingOfKind(p *poolRow, label string) bool {
	for _, h := range t.hostOrder {
		if h.order != nil && h.order.Wave == 0 && h.order.Pool == p.name && h.has(label) {
			return true
		}
	}
	return false
}
