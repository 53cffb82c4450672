package fake

import "sync"

// TeamCount holds the executors' counts of one team's requests.
type TeamCount struct {
	Running int `json:"running"`
	// Peak is the most requests of the team that were running at once.
	Peak int `json:"peak"`
	Runs int `json:"runs"`
}

// Totals holds the counts of all executors together.
type Totals struct {
	Runs int `json:"runs"`
	// DoubleRuns counts the runs of non-idempotent requests after the first run of each.
	DoubleRuns int `json:"doubles"`
	// BusyRefusals counts the requests that were refused because no slot was free or the executor was draining.
	BusyRefusals int                  `json:"busy"`
	Teams        map[string]TeamCount `json:"teams"`
	// OccupiedSlots holds the number of running requests by pool and team.
	OccupiedSlots map[string]map[string]int `json:"occupied"`
}

// tracker counts the runs on all executors. Tests and load runs check the system's guarantees against these counts.
type tracker struct {
	mu            sync.Mutex
	runsByRequest map[string]int
	doubleRuns    int
	refusals      int
	totalRuns     int
	teams         map[string]TeamCount
	occupied      map[string]map[string]int
}

func newTracker() *tracker {
	return &tracker{runsByRequest: map[string]int{}, teams: map[string]TeamCount{}, occupied: map[string]map[string]int{}}
}

func (t *tracker) start(r run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totalRuns++
	t.runsByRequest[r.requestID]++
	if r.atMostOnce && t.runsByRequest[r.requestID] > 1 {
		t.doubleRuns++
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

func (t *tracker) countRefusal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusals++
}

// runCounts returns how often each of the requests was run, by request ID.
func (t *tracker) runCounts(requests []string) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]int, len(requests))
	for _, r := range requests {
		counts[r] = t.runsByRequest[r]
	}
	return counts
}

func (t *tracker) totals() Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := Totals{Runs: t.totalRuns, DoubleRuns: t.doubleRuns, BusyRefusals: t.refusals, Teams: map[string]TeamCount{}, OccupiedSlots: map[string]map[string]int{}}
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
