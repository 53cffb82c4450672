package sched

import "time"

// Fair shares of teams in a pool, for when one team sends many times its usual load: while work waits, a team that uses more than its weighted share of the pool's processors comes after those that do not.

// teamLoad is a team's work in a pool.
type teamLoad struct {
	team string
	// running is the CPU of its running items, without serving jobs, in millicores.
	running int64
	// hasWork means that work of the team waits or runs.
	hasWork bool
	// weight is the team's weight, 0 until it is looked up in the present configuration.
	weight float64
}

// overShare reports whether the job's team uses more than its share of the pool.
func (t *Table) overShare(j *job) bool {
	p := t.ensurePool(j.queue.Pool)
	load := p.ensureTeamLoad(j.record.Team)
	return load.running > p.fairShare(t.loadWeight(load))
}

// loadWeight returns the weight of a load's team.
func (t *Table) loadWeight(load *teamLoad) float64 {
	if load.weight == 0 {
		load.weight = t.teamWeight(load.team)
	}
	return load.weight
}

// forgetWeights has the weights of teams looked up again, because the configuration has changed.
func (t *Table) forgetWeights() {
	for _, p := range t.pools {
		for i := range p.teamLoads {
			p.teamLoads[i].weight = 0
		}
	}
}

// fairShare is the CPU in millicores that a team of the given weight may use while others wait.
func (p *poolState) fairShare(weight float64) int64 {
	if p.totalWeight <= 0 {
		return p.usableCPU
	}
	return int64(float64(p.usableCPU) * weight / p.totalWeight)
}

// ensureTeamLoad returns the team's load in the pool, and adds it if it is new.
func (p *poolState) ensureTeamLoad(team string) *teamLoad {
	for i := range p.teamLoads {
		if p.teamLoads[i].team == team {
			return &p.teamLoads[i]
		}
	}
	p.teamLoads = append(p.teamLoads, teamLoad{team: team})
	return &p.teamLoads[len(p.teamLoads)-1]
}

// measureTeamLoads measures each pool's usable CPU and the running load and weights of the teams with work there.
func (t *Table) measureTeamLoads(now time.Duration) {
	for _, p := range t.pools {
		p.teamLoads, p.totalWeight, p.usableCPU = p.teamLoads[:0], 0, 0
		for _, tgt := range t.targetsInPool(p.name) {
			if tgt.usable(now) {
				p.usableCPU += tgt.Capacity.CPU
			}
		}
	}
	for _, j := range t.activeJobs {
		if j.serving {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.unfinished == 0 || !s.dependenciesDone() {
					continue
				}
				load := t.ensurePool(j.queue.Pool).ensureTeamLoad(j.record.Team)
				load.hasWork = true
				load.running += int64(s.unfinished-s.waiting) * s.spec.Reservation().CPU
			}
		}
	}
	for _, p := range t.pools {
		for i := range p.teamLoads {
			if p.teamLoads[i].hasWork {
				p.totalWeight += t.loadWeight(&p.teamLoads[i])
			}
		}
	}
}

// teamWeight is the team's configured weight, 1 by default.
func (t *Table) teamWeight(team string) float64 {
	if cfg, ok := t.config.Team(team); ok && cfg.Weight > 0 {
		return cfg.Weight
	}
	return 1
}
