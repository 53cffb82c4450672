package sched

import "time"

// Shares of teams in a pool, for the load of one team that sends many times its usual: while work waits, a team that has its weighted share of the pool's processors at work comes after those that have not.

// teamLoad is what a team has in a pool.
type teamLoad struct {
	team string
	// running is what is at work and does not serve, in thousandths of a core.
	running int64
	// wants means that work of the team waits or runs.
	wants bool
}

// overShare reports whether the job's team has its share of the pool at work.
func (t *Table) overShare(j *job) bool {
	p := t.pool(j.queue.Pool)
	row := p.load(j.rec.Team)
	return row.running > p.fairShare(t.weight(j.rec.Team))
}

// fairShare is what a team of a weight may have at work while others wait.
func (p *poolRow) fairShare(weight float64) int64 {
	if p.weights <= 0 {
		return p.room
	}
	return int64(float64(p.room) * weight / p.weights)
}

// load returns the team's row in the pool.
func (p *poolRow) load(team string) *teamLoad {
	for i := range p.loads {
		if p.loads[i].team == team {
			return &p.loads[i]
		}
	}
	p.loads = append(p.loads, teamLoad{team: team})
	return &p.loads[len(p.loads)-1]
}

// measureShares adds up what teams have at work in each pool.
func (t *Table) measureShares(now time.Duration) {
	for _, p := range t.pools {
		p.loads, p.weights, p.room = p.loads[:0], 0, 0
		for _, row := range t.targetsOf(p.name) {
			if row.usable(now) {
				p.room += row.Capacity.CPU
			}
		}
	}
	for _, j := range t.active {
		if j.serving {
			continue
		}
		for _, o := range j.occs {
			for _, s := range o.steps {
				if s.left == 0 || !s.ready() {
					continue
				}
				row := t.pool(j.queue.Pool).load(j.rec.Team)
				row.wants = true
				row.running += int64(s.left-s.waiting) * s.spec.Reservation().CPU
			}
		}
	}
	for _, p := range t.pools {
		for i := range p.loads {
			if p.loads[i].wants {
				p.weights += t.weight(p.loads[i].team)
			}
		}
	}
}

// weight is a team's weight, 1 for one that has none.
func (t *Table) weight(team string) float64 {
	if row, ok := t.config.Team(team); ok && row.Weight > 0 {
		return row.Weight
	}
	return 1
}
