package alloc

import (
	"maps"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/share"
)

// divide sets each seat's quotas and due slots: max-min fair over teams by weight, then over seats by demand.
func (t *Allocator) divide(now time.Time) {
	t.ejectOutliers(now)
	names := slices.Sorted(maps.Keys(t.seats))
	capacity := total(t.slots)
	teams := t.teams()
	claims := make([]share.Contender, len(teams))
	for i, team := range teams {
		claims[i].Weight = t.layout.Weights[team]
		for _, s := range t.seats {
			claims[i].Demand += s.demands[team]
		}
	}
	share.Divide(capacity, claims)
	t.measure(capacity, claims, teams)
	given := 0
	for _, s := range t.seats {
		maps.DeleteFunc(s.quotas, func(team string, _ int) bool { return s.demands[team] == 0 })
	}
	for i, team := range teams {
		given += claims[i].Allocated
		t.split(team, claims[i].Allocated, names)
	}
	t.rotate(teams, names, now)
	for _, s := range t.seats {
		s.due = total(s.quotas)
	}
	t.spread(capacity-given, names)
}

// measure finds the level to which teams that lack slots were served, and what each team could have beyond its demand.
func (t *Allocator) measure(capacity int, claims []share.Contender, teams []string) {
	t.level = float64(capacity)
	for _, c := range claims {
		if c.Allocated < c.Demand {
			t.level = min(t.level, float64(c.Allocated+1)/float64(c.Weight))
		}
	}
	t.spare = make(map[string]int, len(teams))
	for i, team := range teams {
		t.spare[team] = max(0, int(t.level*float64(claims[i].Weight))-claims[i].Demand)
	}
}

// teams returns all teams with demand, sorted.
func (t *Allocator) teams() []string {
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
func (t *Allocator) split(team string, slots int, names []string) {
	kept := make([]share.Contender, len(names))
	for i, name := range names {
		s := t.seats[name]
		kept[i].Demand = min(s.quotas[team], s.demands[team])
	}
	share.Divide(slots, kept)
	more := make([]share.Contender, len(names))
	for i, name := range names {
		more[i].Demand = t.seats[name].demands[team] - kept[i].Allocated
		slots -= kept[i].Allocated
	}
	share.Divide(slots, more)
	for i, name := range names {
		s := t.seats[name]
		delete(s.quotas, team)
		if got := kept[i].Allocated + more[i].Allocated; got > 0 {
			s.quotas[team] = got
		}
	}
}

// rotate passes one slot of each team from the seat with most to a seat with none, so that no seat's requests are passed over for ever.
func (t *Allocator) rotate(teams, names []string, now time.Time) {
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
func (t *Allocator) spread(slots int, names []string) {
	for i, name := range names {
		part := slots / len(names)
		if i < slots%len(names) {
			part++
		}
		t.seats[name].due += part
	}
}
