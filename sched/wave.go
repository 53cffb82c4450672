package sched

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Timing of waves.
const (
	// waveMargin is how much before its deadline a wave should be through.
	waveMargin = 2 * time.Second
	// drainPatience is how long a host of a wave waits for what it runs before that is thrown away; most items run for about a second.
	drainPatience = 4 * time.Second
)

// remaining returns the wave's hosts that are listed and have not begun their upkeep.
func (t *Table) remaining(w *waveRow) []*host {
	var list []*host
	for _, name := range w.Hosts {
		if h, ok := t.hosts[name]; ok && !w.begun[name] {
			list = append(list, h)
		}
	}
	return list
}

// planWave chooses the next hosts of a wave: those that run least go first, at most as many at once as the wave allows.
func (t *Table) planWave(w *waveRow, now time.Duration) {
	if w.completed {
		return
	}
	left := t.remaining(w)
	if len(left) == 0 {
		if t.downFor(w) == 0 {
			w.completed, w.dirty = true, true
			t.note("waveCompleted", orderName(HostOrder{Wave: w.Number}), "all hosts begun", "")
		}
		return
	}
	room := max(w.MaxConcurrent, 1) - t.downFor(w)
	for _, h := range left {
		if h.order != nil && h.order.Wave == w.Number && h.order.stage == stageDraining {
			room--
		}
	}
	t.explainWave(w, left, now)
	sort.SliceStable(left, func(a, b int) bool { return t.burden(left[a]) < t.burden(left[b]) })
	room = t.drainServing(w, left, room, now)
	busy := t.busyRoom(w, left, now)
	for _, h := range left {
		if room <= 0 {
			return
		}
		if !h.free(now) || t.burden(h) >= servingBurden {
			continue
		}
		if h.idleSince == 0 {
			if busy <= 0 {
				continue
			}
			busy--
		}
		t.drainFor(w, h, now)
		room--
	}
}

// servingPart is the part of a wave's cap that hosts with serving items may take at once.
const servingPart = 4

// drainServing begins with hosts with serving items before all others and returns the room that is left: their items leave one after the other within their steps' budgets, which takes longest where there are most.
func (t *Table) drainServing(w *waveRow, left []*host, room int, now time.Duration) int {
	serving := max(w.MaxConcurrent/servingPart, 1)
	for _, h := range left {
		if h.order != nil && h.order.Wave == w.Number && h.order.stage == stageDraining && t.burden(h) >= servingBurden {
			serving--
		}
	}
	byItems := slices.Clone(left)
	slices.SortStableFunc(byItems, func(a, b *host) int { return t.servingItems(b) - t.servingItems(a) })
	for _, h := range byItems {
		if room <= 0 || serving <= 0 {
			return room
		}
		if !h.free(now) || t.burden(h) < servingBurden {
			continue
		}
		t.drainFor(w, h, now)
		room--
		serving--
	}
	return room
}

// servingItems counts the serving items on a host.
func (t *Table) servingItems(h *host) int {
	n := 0
	if row, ok := t.targets[h.Target]; ok {
		for _, it := range row.runs {
			if it.step.spec.Serving {
				n++
			}
		}
	}
	return n
}

// free reports whether the host may be given an order.
func (h *host) free(now time.Duration) bool {
	return h.order == nil && h.State == work.HostUp && now >= h.notBefore
}

// drainFor begins to empty a host for its upkeep.
func (t *Table) drainFor(w *waveRow, h *host, now time.Duration) {
	h.order = &pendingOrder{HostOrder: HostOrder{Host: h.Name, Wave: w.Number}, stage: stageDraining, since: now}
	t.leave(h, true)
}

// markDue notes which targets are still to go for waves, so that serving items do not move to where they would have to leave again.
func (t *Table) markDue() {
	for _, row := range t.order {
		row.upkeepDue = false
	}
	for _, w := range t.waveOrder {
		if w.completed {
			continue
		}
		for _, h := range t.remaining(w) {
			if row, ok := t.targets[h.Target]; ok {
				row.upkeepDue = true
			}
		}
	}
}

// hostTurn is about how long a host takes that has to be evacuated: a stop and a restart an item, and the upkeep itself.
const hostTurn = 6 * time.Second

// busyRoom is how many more hosts may be emptied for the wave: as few at once as its deadline allows, since they are lost to their pools meanwhile.
func (t *Table) busyRoom(w *waveRow, left []*host, now time.Duration) int {
	remains := max(t.deadline(w)-now, time.Second)
	n := 1 + int(time.Duration(len(left))*hostTurn/remains)
	for _, h := range left {
		if h.order != nil && h.order.Wave == w.Number && h.idleSince == 0 && t.burden(h) < servingBurden {
			n--
		}
	}
	return n
}

// deadline is when the wave should be through.
func (t *Table) deadline(w *waveRow) time.Duration {
	return w.since + time.Duration(w.DeadlineS*float64(time.Second)) - waveMargin
}

// blockedBy returns a step whose budget does not allow its items on the host to be taken away now, or nil.
func (t *Table) blockedBy(h *host, now time.Duration) *step {
	row, ok := t.targets[h.Target]
	if !ok {
		return nil
	}
	for _, it := range row.runs {
		if it.step.spec.Serving && !t.mayTake(it.step, row, now) {
			return it.step
		}
	}
	return nil
}

// burden is what taking the host away costs: serving items most, then work under way.
func (t *Table) burden(h *host) int64 {
	row, ok := t.targets[h.Target]
	if !ok {
		return 0
	}
	n := row.used.CPU
	for _, it := range row.runs {
		if it.step.spec.Serving {
			n += servingBurden
		}
	}
	return n
}

// servingBurden weighs a serving item like more cores than a host has.
const servingBurden = 100_000

// urgent reports whether the wave cannot wait any longer for what a host runs.
func (t *Table) urgent(w *waveRow, h *host, now time.Duration) bool {
	if now-h.order.since > drainPatience {
		return true
	}
	left := t.deadline(w) - now
	rounds := (len(t.remaining(w)) + max(w.MaxConcurrent, 1) - 1) / max(w.MaxConcurrent, 1)
	return left < time.Duration(rounds)*(t.bounds.MaintenanceTime+time.Second)
}

// WaveUpdate is what operators are to be told of a wave.
type WaveUpdate struct {
	Wave      int64
	Completed bool
}

// WaveUpdates returns what operators have not been told yet and what the store holds.
func (t *Table) WaveUpdates() []WaveUpdate {
	var news []WaveUpdate
	for _, w := range t.waveOrder {
		want := 1
		if w.completed && !w.dirty {
			want = 2
		}
		if w.told < want {
			news = append(news, WaveUpdate{Wave: w.Number, Completed: want == 2})
		}
	}
	return news
}

// WaveReported notes what operators were told.
func (t *Table) WaveReported(n WaveUpdate) {
	if w, ok := t.waves[n.Wave]; ok {
		w.told = 1
		if n.Completed {
			w.told = 2
		}
	}
}

// explainEvery is how often a wave that is not through says what its hosts wait for.
const explainEvery = 4 * time.Second

// explainWave says of each remaining host what it waits for.
func (t *Table) explainWave(w *waveRow, left []*host, now time.Duration) {
	if now-w.explainedAt < explainEvery {
		return
	}
	w.explainedAt = now
	for _, h := range left {
		t.note("waveWaits", h.Name, orderName(HostOrder{Wave: w.Number}), t.waitsFor(h, now))
	}
}

// waitsFor names what keeps a host from its upkeep.
func (t *Table) waitsFor(h *host, now time.Duration) string {
	switch {
	case h.State != work.HostUp:
		return "host is " + string(h.State)
	case !t.mayOrder(h, now):
		return "holder's turn"
	case h.order != nil && h.order.Wave == 0:
		return orderName(h.order.HostOrder)
	case t.blockedBy(h, now) != nil:
		s := t.blockedBy(h, now)
		return fmt.Sprintf("budget of %s: %d of %d away, %d waiting", s.name(), t.away(s), s.spec.MaxUnavailable, s.waiting)
	case h.order != nil:
		return "running items"
	default:
		return "cap of the wave"
	}
}
