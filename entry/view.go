package entry

import (
	"time"

	"lavenderwing.example/lavenderwing/admit"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/fold"
)

// view is the configuration as requests look it up; it is immutable.
type view struct {
	version int64
	queues  map[string]queueRow
	keys    map[string]keyRow
	// longestRun is the longest run limit of all services.
	longestRun time.Duration
}

type queueRow struct {
	fleet.Queue
	service admit.ServiceID
	runs    time.Duration
}

type keyRow struct {
	fleet.Key
	team admit.TeamID
}

// openTeam is charged for requests on queues that are open to all.
const openTeam = "-open"

// openLimit is the number of slots that requests without a team may use through one entry process.
const openLimit = 1 << 20

// layoutOf returns the part of the tables and of the hosts that admission needs.
func layoutOf(t fold.Tables, hosts []fleet.Host) admit.Config {
	layout := admit.Config{Teams: []admit.TeamConfig{{Name: openTeam, Share: 1}}}
	for _, team := range t.Teams.All() {
		layout.Teams = append(layout.Teams, admit.TeamConfig{Name: team.Name, Share: team.Share})
	}
	targets := map[string][]admit.TargetConfig{}
	for _, h := range hosts {
		targets[h.Pool] = append(targets[h.Pool], admit.TargetConfig{
			Name: h.Name, Address: h.Address, Zone: h.Zone, Slots: h.Slots, Draining: h.Draining,
		})
	}
	for _, s := range t.Services.All() {
		layout.Services = append(layout.Services, admit.ServiceConfig{Name: s.Name, RunLimit: s.RunLimit(), Targets: targets[s.Pool]})
	}
	return layout
}

// viewOf compiles the tables against the rows of an admission table that already has their layout.
func viewOf(t fold.Tables, rows *admit.Table) *view {
	v := &view{version: t.ConfigVersion(), queues: map[string]queueRow{}, keys: map[string]keyRow{}}
	for _, s := range t.Services.All() {
		v.longestRun = max(v.longestRun, s.RunLimit())
	}
	for _, q := range t.Queues.All() {
		service, _ := rows.ServiceID(q.Service)
		v.queues[q.Name] = queueRow{Queue: q, service: service, runs: rows.RunLimit(service)}
	}
	for _, k := range t.Keys.All() {
		team, _ := rows.TeamID(k.Team)
		v.keys[k.Name] = keyRow{Key: k, team: team}
	}
	return v
}
