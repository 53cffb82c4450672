package stand

import "sync"

// TeamCount is what the executors saw of one team.
type TeamCount struct {
	Running int `json:"running"`
	// Peak is the most requests of the team that ran at once.
	Peak int `json:"peak"`
	Runs int `json:"runs"`
}

// Totals is what the executors saw in all.
type Totals struct {
	Runs int `json:"runs"`
	// DoubleRuns counts runs of a non-idempotent request after its first.
	DoubleRuns int `json:"doubles"`
	// BusyRefusals counts requests refused because no slot was free.
	BusyRefusals  int              `json:"busy"`
	Teams map[string]TeamCount `json:"teams"`
	// OccupiedSlots holds running requests by service and team.
	OccupiedSlots map[string]map[string]int `json:"occupied"`
}

// tracker counts runs as the executors see them, which is the truth that promises are checked against.
type tracker struct {
	mu       sync.Mutex
	runs     map[string]int
	doubles  int
	busy     int
	total    int
	teams    map[string]TeamCount
	occupied map[string]map[string]int
}

func newTracker() *tracker {
	return &tracker{runs: map[string]int{}, teams: map[string]TeamCount{}, occupied: map[string]map[string]int{}}
}

func (t *tracker) start(r run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total++
	t.runs[r.request]++
	if r.once && t.runs[r.request] > 1 {
		t.doubles++
	}
	c := t.teams[r.team]
	c.Running++
	c.Runs++
	c.Peak = max(c.Peak, c.Running)
	t.teams[r.team] = c
	if t.occupied[r.pool] == nil {
		t.occupied[r.pool] = map[string]int{}
	}
	t.occupied[r.pool][r.team]++
}

func (t *tracker) finish(r run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.teams[r.team]
	c.Running--
	t.teams[r.team] = c
	t.occupied[r.pool][r.team]--
}

func (t *tracker) refuse() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy++
}

// ran returns how often each request ran.
func (t *tracker) ran(requests []string) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]int, len(requests))
	for _, r := range requests {
		counts[r] = t.runs[r]
	}
	return counts
}

func (t *tracker) totals() Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := Totals{Runs: t.total, DoubleRuns: t.doubles, BusyRefusals: t.busy, Teams: map[string]TeamCount{}, OccupiedSlots: map[string]map[string]int{}}
	for team, c := range t.teams {
		totals.Teams[team] = c
	}
	for pool, teams := range t.occupied {
		totals.OccupiedSlots[pool] = map[string]int{}
		for team, n := range teams {
			totals.OccupiedSlots[pool][team] = n
		}
	}
	return totals
}
