package admit

// ServiceLoad is what one entry process does for a service.
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

// TeamLoad is one team's part of a ServiceLoad.
type TeamLoad struct {
	Team    string `json:"team"`
	Quota   int    `json:"quota"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

// Loads returns the load of every service.
func (t *Table) Loads() []ServiceLoad {
	loads := make([]ServiceLoad, len(t.services))
	for i, row := range t.services {
		load := ServiceLoad{Service: row.name, Running: row.running, Waiting: row.waiting, Free: len(row.free), Ejected: row.ejected}
		for _, target := range row.targets {
			load.Credit += t.targets[target].credit
		}
		for team, l := range row.lanes {
			if l != nil && l.running+l.waiting+l.quota > 0 {
				load.Teams = append(load.Teams, TeamLoad{Team: t.teamNames.list[team], Quota: l.quota, Running: l.running, Waiting: l.waiting})
			}
		}
		loads[i] = load
	}
	return loads
}
