package alloc

import (
	"maps"
	"slices"
	"time"
)

// Times of the allocator.
const (
	// ReportTimeout is how long a seat may say nothing before its slots go to others.
	ReportTimeout = 3 * time.Second
	// warmup is how long a new allocator only confirms what seats say they have.
	warmup = 150 * time.Millisecond
	// rotation is how often a team's slots change seats when there are fewer than seats.
	rotation = 250 * time.Millisecond
)

// Allocator is the allocator of one service; its methods must not run at the same time.
type Allocator struct {
	layout  ServiceConfig
	seats   map[string]*seat
	started time.Time
	last    time.Time
	rotated time.Time
	level   float64
	spare   map[string]int
	turn    int
	// outliers holds what is known of failing targets, and slots what each target may run now.
	outliers map[string]*outlier
	slots    map[string]int
	// dirty is set when the division no longer matches what is known.
	dirty bool
}

// New returns an allocator that has heard nothing.
func New() *Allocator { return &Allocator{seats: map[string]*seat{}, outliers: map[string]*outlier{}} }

// Configure replaces the layout.
func (t *Allocator) Configure(l ServiceConfig) {
	t.layout = l
	t.dirty = true
}

// HandleReport takes a seat's report and returns its allocation.
func (t *Allocator) HandleReport(r Report, now time.Time) Allocation {
	if now.Sub(t.last) > ReportTimeout {
		// The allocator is new, or was paused while another one may have given the slots away.
		t.started = now
		t.seats = map[string]*seat{}
	}
	t.last = now
	if r.Same {
		s := t.seats[r.Seat]
		if s == nil || s.incarnation != r.Incarnation || s.sequence != r.Applied {
			return Allocation{Unknown: true}
		}
		s.heard = now
		return t.answer(s, r.Applied, now)
	}
	return t.answer(t.observe(r, now), r.Applied, now)
}

func (t *Allocator) answer(s *seat, applied uint64, now time.Time) Allocation {
	if t.forget(now) || t.dirty || now.Sub(t.rotated) >= rotation {
		t.divide(now)
		t.dirty = false
	}
	a := t.allocate(s, now)
	if a.Sequence == applied {
		return Allocation{Sequence: applied, Same: true}
	}
	return a
}

// Refresh returns a newer allocation for a seat that was heard before, and whether it differs from the last one.
func (t *Allocator) Refresh(name string, now time.Time) (Allocation, bool) {
	s := t.seats[name]
	if s == nil {
		return Allocation{}, false
	}
	before := s.sequence
	a := t.allocate(s, now)
	return a, s.sequence != before
}

// SeatsToUpdate returns the other seats whose slots should change, sorted.
func (t *Allocator) SeatsToUpdate(except string, now time.Time) []string {
	var names []string
	free := t.free()
	spare := 0
	for _, n := range free {
		spare += max(n, 0)
	}
	for name, s := range t.seats {
		granted := total(s.granted)
		if name != except && (granted > s.due || granted < s.due && spare > 0 && !t.warming(now)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (t *Allocator) warming(now time.Time) bool { return now.Sub(t.started) < warmup }

// observe replaces what is known of a seat.
func (t *Allocator) observe(r Report, now time.Time) *seat {
	s := t.seats[r.Seat]
	if s == nil || s.incarnation != r.Incarnation {
		s = &seat{name: r.Seat, incarnation: r.Incarnation, quotas: map[string]int{}}
		s.adopt(r)
		t.seats[r.Seat] = s
	}
	if r.Applied > s.sequence {
		// Another allocator has served the seat meanwhile.
		s.adopt(r)
	}
	s.heard = now
	if r.Number < s.number {
		return s
	}
	s.number = r.Number
	t.dirty = true
	t.observeEjections(r, now)
	s.demands = map[string]int{}
	for _, d := range r.Demands {
		s.demands[d.Team] += d.Want
	}
	s.running = map[string]int{}
	for _, u := range r.Uses {
		s.running[u.Target] = u.Running
	}
	if r.Applied >= s.sequence {
		s.committed = maps.Clone(s.granted)
	}
	for target, n := range s.running {
		s.commit(target, n)
	}
	return s
}

// forget drops seats that have been silent for too long, and reports whether there were any.
func (t *Allocator) forget(now time.Time) bool {
	before := len(t.seats)
	maps.DeleteFunc(t.seats, func(_ string, s *seat) bool { return now.Sub(s.heard) > ReportTimeout })
	return len(t.seats) != before
}
