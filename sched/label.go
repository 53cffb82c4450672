package sched

import (
	"slices"
	"time"
)

// Moves of hosts with labels, for steps that only targets with a label may run: a pool of the right size may have no such target.

// labelWait is how long a step waits for a target with its label before its pool gets more such hosts; most items run for about a second.
const labelWait = time.Second

// labelDemand is a label that steps of a pool require.
type labelDemand struct {
	label string
	// unplacedCPU is the demand in millicores of items that find no room, and since is when the first of their steps found none.
	unplacedCPU int64
	since       time.Duration
}

// addLabelDemand records that an unfinished step requires a label.
func (p *poolState) addLabelDemand(s *step, waiting int, cpu int64) {
	n := slices.IndexFunc(p.labelDemands, func(k labelDemand) bool { return k.label == s.spec.RequiredLabel })
	if n < 0 {
		p.labelDemands = append(p.labelDemands, labelDemand{label: s.spec.RequiredLabel})
		n = len(p.labelDemands) - 1
	}
	k := &p.labelDemands[n]
	if waiting > 0 && s.noRoomSince > 0 {
		k.add(int64(waiting)*cpu, s.noRoomSince)
	}
	if s.stranded > 0 {
		k.add(int64(s.stranded)*cpu, s.strandedSince)
	}
}

// add adds the demand of items that have found no room since the given time.
func (k *labelDemand) add(cpu int64, since time.Duration) {
	k.unplacedCPU += cpu
	if k.since == 0 || since < k.since {
		k.since = since
	}
}

// hasLabel reports whether the host carries a label.
func (h *host) hasLabel(label string) bool { return slices.Contains(h.Labels, label) }

// countWithLabel counts the pool's hosts with a label.
func (p *poolState) countWithLabel(label string) int {
	n := 0
	for _, h := range p.hosts {
		if h.hasLabel(label) {
			n++
		}
	}
	return n
}

// lastWithNeededLabel reports whether the host is the pool's last one with a label that its steps require.
func (p *poolState) lastWithNeededLabel(h *host) bool {
	for _, k := range p.labelDemands {
		if h.hasLabel(k.label) && p.countWithLabel(k.label) <= 1 {
			return true
		}
	}
	return false
}

// moveLabeledHosts moves spare hosts to pools that lack their labels, at once if a pool has no such host and otherwise after labelWait, and returns the spare hosts that are left.
func (t *Table) moveLabeledHosts(pools []*poolState, spare []*host, now time.Duration) []*host {
	for _, p := range pools {
		for _, k := range p.labelDemands {
			if k.unplacedCPU == 0 || t.incomingWithLabel(p, k.label) || (p.countWithLabel(k.label) > 0 && now-k.since < labelWait) {
				continue
			}
			for missing := int((k.unplacedCPU + p.hostCPU - 1) / max(p.hostCPU, 1)); missing > 0; missing-- {
				n := slices.IndexFunc(spare, func(h *host) bool {
					return h.Pool != p.name && h.hasLabel(k.label) && !t.rejectedMoves[h.Name+"/"+p.name]
				})
				if n < 0 {
					break
				}
				t.beginMove(spare[n], p.name, now)
				p.incoming++
				spare = slices.Delete(spare, n, n+1)
			}
		}
	}
	return spare
}

// incomingWithLabel reports whether a host with the label is on its way to the pool.
func (t *Table) incomingWithLabel(p *poolState, label string) bool {
	for _, h := range t.sortedHosts {
		if h.order != nil && h.order.Wave == 0 && h.order.Pool == p.name && h.hasLabel(label) && !t.isHostEvacuated(h) {
			return true
		}
	}
	return false
}
