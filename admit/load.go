package admit

// ServiceLoad is the load of a service in one entry process.
type ServiceLoad struct {
	Service string `json:"service"`
	// Credit is the number of slots that the process may occupy.
	Credit  int `json:"credit"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Free is the number of targets with a free slot.
	Free    int        `json:"free"`
	Ejected int        `json:"ejected"`
	Teams   []TeamLoad `json:"teams"`
}

// TeamLoad is the load of one team at a service.
type TeamLoad struct {
	Team    string `json:"team"`
	Quota   int    `json:"quota"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

// Loads returns the load of every service.
func (t *Table) Loads() []ServiceLoad {
	loads := make([]ServiceLoad, len(t.services))
	for i, svc := range t.services {
		load := ServiceLoad{Service: svc.name, Running: svc.running, Waiting: svc.waiting, Free: len(svc.freeTargets), Ejected: svc.ejected}
		for _, target := range svc.targets {
			load.Credit += t.targets[target].credit
		}
		for team, f := range svc.flows {
			if f != nil && f.running+f.waiting+f.quota > 0 {
				load.Teams = append(load.Teams, TeamLoad{Team: t.teamNames.names[team], Quota: f.quota, Running: f.running, Waiting: f.waiting})
			}
		}
		loads[i] = load
	}
	return loads
}
