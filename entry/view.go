package entry

import (
	"time"

	"lavenderwing.example/lavenderwing/admit"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/state"
)

// configView is an immutable copy of the configuration, indexed for requests.
type configView struct {
	version int64
	queues  map[string]queueConfig
	keys    map[string]keyConfig
	// longestRun is the greatest run limit of all services.
	longestRun time.Duration
}

type queueConfig struct {
	fleet.Queue
	service  admit.ServiceID
	runLimit time.Duration
}

type keyConfig struct {
	fleet.Key
	team admit.TeamID
}

// openTeam is the team of requests without a key, which open queues accept.
const openTeam = "-open"

// openTeamSlots is the number of slots that openTeam may use through one entry process, large enough that it never limits.
const openTeamSlots = 1 << 20

// admissionConfig returns the part of the configuration that admission needs.
func admissionConfig(t state.Tables, hosts []fleet.Host) admit.Config {
	config := admit.Config{Teams: []admit.TeamConfig{{Name: openTeam, Share: 1}}}
	for _, team := range t.Teams.All() {
		config.Teams = append(config.Teams, admit.TeamConfig{Name: team.Name, Share: team.Share})
	}
	targets := map[string][]admit.TargetConfig{}
	for _, h := range hosts {
		targets[h.Pool] = append(targets[h.Pool], admit.TargetConfig{
			Name: h.Name, Address: h.Address, Zone: h.Zone, Slots: h.Slots, Draining: h.Draining,
		})
	}
	for _, s := range t.Services.All() {
		config.Services = append(config.Services, admit.ServiceConfig{Name: s.Name, RunLimit: s.RunLimit(), Targets: targets[s.Pool]})
	}
	return config
}

// newConfigView builds the view of a configuration that the admission table already has.
func newConfigView(t state.Tables, admission *admit.Table) *configView {
	v := &configView{version: t.ConfigVersion(), queues: map[string]queueConfig{}, keys: map[string]keyConfig{}}
	for _, s := range t.Services.All() {
		v.longestRun = max(v.longestRun, s.RunLimit())
	}
	for _, q := range t.Queues.All() {
		service, _ := admission.ServiceID(q.Service)
		v.queues[q.Name] = queueConfig{Queue: q, service: service, runLimit: admission.RunLimit(service)}
	}
	for _, k := range t.Keys.All() {
		team, _ := admission.TeamID(k.Team)
		v.keys[k.Name] = keyConfig{Key: k, team: team}
	}
	return v
}
