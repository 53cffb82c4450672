package alloc

import "time"

// Times and bounds of the isolation of targets that several seats found failing.
const (
	// witnesses is the number of seats whose word within newsFor isolates a target.
	witnesses   = 2
	newsFor     = 3 * time.Second
	isolateBase = 4 * time.Second
	isolateMost = time.Minute
	// probation is how long an isolated target gets one slot before it gets all again.
	probation = 2 * time.Second
	// keptPercent of a service's targets are never isolated.
	keptPercent = 50
)

// ward is what the allocator knows of one target's failures.
type ward struct {
	// seen holds each incarnation's count of ejections, and news when a seat's last grew.
	seen    map[source]int
	news    map[string]time.Time
	until   time.Time
	trial   time.Time
	strikes int
}

// source is one run of one process that reports.
type source struct {
	seat        string
	incarnation string
}

// witness takes a seat's counts of ejections; the first count of a seat is no news.
func (t *Table) witness(r Report, now time.Time) {
	from := source{seat: r.Seat, incarnation: r.Incarnation}
	for _, u := range r.Uses {
		w := t.wards[u.Target]
		if w == nil {
			w = &ward{seen: map[source]int{}, news: map[string]time.Time{}}
			t.wards[u.Target] = w
		}
		if before, known := w.seen[from]; u.Ejections > before && (known || u.Ejections == 1) {
			w.news[r.Seat] = now
		}
		w.seen[from] = u.Ejections
	}
}

// isolate gives no slots to targets that enough seats found failing, as long as enough targets remain.
func (t *Table) isolate(now time.Time) {
	t.slots = make(map[string]int, len(t.layout.Targets))
	isolated := 0
	for _, target := range t.layout.Targets {
		if w := t.wards[target.Name]; w != nil && now.Before(w.until) {
			isolated++
		}
	}
	for _, target := range t.layout.Targets {
		w := t.wards[target.Name]
		if w != nil && w.condemned(now) && (isolated+1)*100 <= len(t.layout.Targets)*(100-keptPercent) {
			w.strike(now)
			isolated++
		}
		t.slots[target.Name] = w.allowed(target.Slots, now)
	}
}

// condemned reports whether the newest word on a target isolates it; on probation, one seat's word is enough.
func (w *ward) condemned(now time.Time) bool {
	if now.Before(w.until) {
		return false
	}
	words := 0
	for _, at := range w.news {
		if at.After(w.until) && now.Sub(at) <= newsFor {
			words++
		}
	}
	return words >= witnesses || words > 0 && now.Before(w.trial)
}

func (w *ward) strike(now time.Time) {
	if now.Sub(w.trial) > isolateMost {
		w.strikes = 0
	}
	w.until = now.Add(min(isolateBase<<w.strikes, isolateMost))
	w.trial = w.until.Add(probation)
	w.strikes++
}

func (w *ward) allowed(slots int, now time.Time) int {
	switch {
	case w == nil || !now.Before(w.trial):
		return slots
	case now.Before(w.until):
		return 0
	default:
		return min(slots, 1)
	}
}
