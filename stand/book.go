package stand

import "sync"

// Count is what the executors saw of one team.
type Count struct {
	Running int `json:"running"`
	// Peak is the most requests of the team that ran at once.
	Peak int `json:"peak"`
	Runs int `json:"runs"`
}

// Totals is what the executors saw in all.
type Totals struct {
	Runs int `json:"runs"`
	// Doubles counts runs of a non-idempotent request after its first.
	Doubles int `json:"doubles"`
	// Busy counts requests refused because no slot was free.
	Busy  int              `json:"busy"`
	Teams map[string]Count `json:"teams"`
	// Occupied holds running requests by service and team.
	Occupied map[string]map[string]int `json:"occupied"`
}

// book counts runs as the executors see them, which is the truth that promises are checked against.
type book struct {
	mu       sync.Mutex
	runs     map[string]int
	doubles  int
	busy     int
	total    int
	teams    map[string]Count
	occupied map[string]map[string]int
}

func newBook() *book {
	return &book{runs: map[string]int{}, teams: map[string]Count{}, occupied: map[string]map[string]int{}}
}

func (b *book) start(r run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total++
	b.runs[r.request]++
	if r.once && b.runs[r.request] > 1 {
		b.doubles++
	}
	c := b.teams[r.team]
	c.Running++
	c.Runs++
	c.Peak = max(c.Peak, c.Running)
	b.teams[r.team] = c
	if b.occupied[r.pool] == nil {
		b.occupied[r.pool] = map[string]int{}
	}
	b.occupied[r.pool][r.team]++
}

func (b *book) finish(r run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.teams[r.team]
	c.Running--
	b.teams[r.team] = c
	b.occupied[r.pool][r.team]--
}

func (b *book) refuse() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy++
}

// ran returns how often each request ran.
func (b *book) ran(requests []string) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[string]int, len(requests))
	for _, r := range requests {
		counts[r] = b.runs[r]
	}
	return counts
}

func (b *book) totals() Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := Totals{Runs: b.total, Doubles: b.doubles, Busy: b.busy, Teams: map[string]Count{}, Occupied: map[string]map[string]int{}}
	for team, c := range b.teams {
		t.Teams[team] = c
	}
	for pool, teams := range b.occupied {
		t.Occupied[pool] = map[string]int{}
		for team, n := range teams {
			t.Occupied[pool][team] = n
		}
	}
	return t
}
