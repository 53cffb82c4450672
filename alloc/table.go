package alloc

import (
	"maps"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/share"
)

// Times of the allocator.
const (
	// Silence is how long a seat may say nothing before its slots go to others.
	Silence = 3 * time.Second
	// warmup is how long a new allocator only confirms what seats say they have.
	warmup = 500 * time.Millisecond
	// rotation is how often a team's slots change seats when there are fewer than seats.
	rotation = 250 * time.Millisecond
)

// seat is one entry process as the allocator of a service sees it.
type seat struct {
	name        string
	incarnation string
	heard       time.Time
	sequence    uint64
	number      uint64
	demands     map[string]int
	running     map[string]int
	// told is the newest allocation by target.
	told map[string]int
	// committed is the most slots that the seat may occupy at each target until it confirms less.
	committed map[string]int
	quotas    map[string]int
	// sent is the quotas of the newest allocation.
	sent map[string]int
	// due is the number of slots that the seat should have now.
	due int
}

// Table is the allocator of one service; its methods must not run at the same time.
type Table struct {
	layout  Layout
	seats   map[string]*seat
	started time.Time
	last    time.Time
	rotated time.Time
	level   float64
	spare   map[string]int
	turn    int
	// dirty is set when the division no longer matches what is known.
	dirty bool
}

// New returns an allocator that has heard nothing.
func New() *Table { return &Table{seats: map[string]*seat{}} }

// Configure replaces the layout.
func (t *Table) Configure(l Layout) {
	t.layout = l
	t.dirty = true
}

// Report takes a seat's report and returns its allocation.
func (t *Table) Report(r Report, now time.Time) Allocation {
	if now.Sub(t.last) > Silence {
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
	return t.answer(t.hear(r, now), r.Applied, now)
}

func (t *Table) answer(s *seat, applied uint64, now time.Time) Allocation {
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

// Again returns a newer allocation for a seat that was heard before, and whether it differs from the last one.
func (t *Table) Again(name string, now time.Time) (Allocation, bool) {
	s := t.seats[name]
	if s == nil {
		return Allocation{}, false
	}
	before := s.sequence
	a := t.allocate(s, now)
	return a, s.sequence != before
}

// Stirred returns the other seats whose slots should change, sorted.
func (t *Table) Stirred(except string, now time.Time) []string {
	var names []string
	free := t.free()
	spare := 0
	for _, n := range free {
		spare += max(n, 0)
	}
	for name, s := range t.seats {
		told := total(s.told)
		if name != except && (told > s.due || told < s.due && spare > 0 && !t.warming(now)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (t *Table) warming(now time.Time) bool { return now.Sub(t.started) < warmup }

// hear replaces what is known of a seat.
func (t *Table) hear(r Report, now time.Time) *seat {
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
	s.demands = map[string]int{}
	for _, d := range r.Demands {
		s.demands[d.Team] += d.Want
	}
	s.running = map[string]int{}
	for _, u := range r.Uses {
		s.running[u.Target] = u.Running
	}
	if r.Applied >= s.sequence {
		s.committed = maps.Clone(s.told)
	}
	for target, n := range s.running {
		s.commit(target, n)
	}
	return s
}

// adopt takes over the allocation that the seat says it has.
func (s *seat) adopt(r Report) {
	s.sequence = r.Applied
	s.told = map[string]int{}
	for _, u := range r.Uses {
		s.told[u.Target] = u.Credit
	}
}

// commit raises what the seat may occupy at a target.
func (s *seat) commit(target string, n int) {
	if s.committed == nil {
		s.committed = map[string]int{}
	}
	s.committed[target] = max(s.committed[target], n)
}

// forget drops seats that have been silent for too long, and reports whether there were any.
func (t *Table) forget(now time.Time) bool {
	before := len(t.seats)
	maps.DeleteFunc(t.seats, func(_ string, s *seat) bool { return now.Sub(s.heard) > Silence })
	return len(t.seats) != before
}

// divide sets each seat's quotas and due slots: max-min fair over teams by weight, then over seats by demand.
func (t *Table) divide(now time.Time) {
	names := slices.Sorted(maps.Keys(t.seats))
	capacity := 0
	for _, target := range t.layout.Targets {
		capacity += target.Slots
	}
	teams := t.teams()
	claims := make([]share.Claim, len(teams))
	for i, team := range teams {
		claims[i].Weight = t.layout.Weights[team]
		for _, s := range t.seats {
			claims[i].Want += s.demands[team]
		}
	}
	share.Divide(capacity, claims)
	t.measure(capacity, claims, teams)
	given := 0
	for _, s := range t.seats {
		maps.DeleteFunc(s.quotas, func(team string, _ int) bool { return s.demands[team] == 0 })
	}
	for i, team := range teams {
		given += claims[i].Got
		t.split(team, claims[i].Got, names)
	}
	t.rotate(teams, names, now)
	for _, s := range t.seats {
		s.due = total(s.quotas)
	}
	t.spread(capacity-given, names)
}

// measure finds the level to which teams that lack slots were served, and what each team could have beyond its demand.
func (t *Table) measure(capacity int, claims []share.Claim, teams []string) {
	t.level = float64(capacity)
	for _, c := range claims {
		if c.Got < c.Want {
			t.level = min(t.level, float64(c.Got+1)/float64(c.Weight))
		}
	}
	t.spare = make(map[string]int, len(teams))
	for i, team := range teams {
		t.spare[team] = max(0, int(t.level*float64(claims[i].Weight))-claims[i].Want)
	}
}

// teams returns all teams with demand, sorted.
func (t *Table) teams() []string {
	set := map[string]bool{}
	for _, s := range t.seats {
		for team, want := range s.demands {
			if want > 0 {
				set[team] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// split divides a team's slots over the seats where it wants them, and keeps what still fits of the earlier division, because a slot is idle while it moves.
func (t *Table) split(team string, slots int, names []string) {
	kept := make([]share.Claim, len(names))
	for i, name := range names {
		s := t.seats[name]
		kept[i].Want = min(s.quotas[team], s.demands[team])
	}
	share.Divide(slots, kept)
	more := make([]share.Claim, len(names))
	for i, name := range names {
		more[i].Want = t.seats[name].demands[team] - kept[i].Got
		slots -= kept[i].Got
	}
	share.Divide(slots, more)
	for i, name := range names {
		s := t.seats[name]
		delete(s.quotas, team)
		if got := kept[i].Got + more[i].Got; got > 0 {
			s.quotas[team] = got
		}
	}
}

// rotate passes one slot of each team from the seat with most to a seat with none, so that no seat's requests are passed over for ever.
func (t *Table) rotate(teams, names []string, now time.Time) {
	if now.Sub(t.rotated) < rotation {
		return
	}
	t.rotated = now
	t.turn++
	for _, team := range teams {
		var rich, poor *seat
		for i := range names {
			s := t.seats[names[(i+t.turn)%len(names)]]
			if rich == nil || s.quotas[team] > rich.quotas[team] {
				rich = s
			}
			if s.quotas[team] == 0 && s.demands[team] > 0 {
				poor = s
			}
		}
		if poor != nil && rich.quotas[team] > 0 {
			rich.quotas[team]--
			poor.quotas[team]++
		}
	}
}

// spread gives slots that nobody asks for to all seats alike, so that a new request finds one at once.
func (t *Table) spread(slots int, names []string) {
	for i, name := range names {
		part := slots / len(names)
		if i < slots%len(names) {
			part++
		}
		t.seats[name].due += part
	}
}

// free returns the slots of each target that no seat may occupy.
func (t *Table) free() map[string]int {
	free := make(map[string]int, len(t.layout.Targets))
	for _, target := range t.layout.Targets {
		free[target.Name] = target.Slots
	}
	for _, s := range t.seats {
		for target, n := range s.committed {
			free[target] -= n
		}
	}
	return free
}

// allocate brings a seat's slots towards its due number.
func (t *Table) allocate(s *seat, now time.Time) Allocation {
	before := maps.Clone(s.told)
	known := map[string]bool{}
	for _, target := range t.layout.Targets {
		known[target.Name] = true
	}
	for target := range s.told {
		if !known[target] {
			delete(s.told, target)
		}
	}
	for over := total(s.told) - s.due; over > 0; over-- {
		s.told[s.idlest()]--
	}
	if !t.warming(now) {
		t.grow(s)
	}
	for target, n := range s.told {
		s.commit(target, n)
	}
	// An unchanged allocation keeps its sequence, so that the seat's word on the earlier one still confirms it.
	if !maps.Equal(before, s.told) || !maps.Equal(s.sent, s.quotas) {
		s.sequence++
		s.sent = maps.Clone(s.quotas)
	}
	return t.allocation(s)
}

// idlest returns the target where the seat has most slots that it does not use.
func (s *seat) idlest() string {
	best := ""
	for _, target := range slices.Sorted(maps.Keys(s.told)) {
		if s.told[target] > 0 && (best == "" || s.told[target]-s.running[target] > s.told[best]-s.running[best]) {
			best = target
		}
	}
	return best
}

// grow gives free slots to the seat, each at the target with most of them.
func (t *Table) grow(s *seat) {
	free := t.free()
	for lack := s.due - total(s.told); lack > 0; lack-- {
		best := ""
		for _, target := range t.layout.Targets {
			// A slot that is still committed to this seat can be given back to it at once.
			if n := free[target.Name] + s.committed[target.Name] - s.told[target.Name]; n > 0 && (best == "" || free[target.Name] > free[best]) {
				best = target.Name
			}
		}
		if best == "" {
			return
		}
		s.told[best]++
		if s.told[best] > s.committed[best] {
			s.commit(best, s.told[best])
			free[best]--
		}
	}
}

func (t *Table) allocation(s *seat) Allocation {
	a := Allocation{Sequence: s.sequence, Level: t.level}
	for _, target := range slices.Sorted(maps.Keys(s.told)) {
		if s.told[target] > 0 {
			a.Credits = append(a.Credits, Credit{Target: target, Slots: s.told[target]})
		}
	}
	for _, team := range slices.Sorted(maps.Keys(s.demands)) {
		a.Quotas = append(a.Quotas, Quota{Team: team, Slots: s.quotas[team], Spare: t.spare[team]})
	}
	return a
}

func total(slots map[string]int) int {
	sum := 0
	for _, n := range slots {
		sum += n
	}
	return sum
}
