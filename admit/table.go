package admit

import (
	"math/rand/v2"
	"time"
)

type team struct {
	weight int
	// usable is the number of slots that the held units of the limit allow now.
	usable  int
	running int
	waiting int
	// services lists those where the team has waiters.
	services []ServiceID
}

type service struct {
	name     string
	runLimit time.Duration
	targets  []TargetID
	// free lists the targets with a free slot.
	free []TargetID
	// lanes is indexed by team and filled on first use.
	lanes []*lane
	// active lists the lanes with waiters.
	active  []activeLane
	ejected int
	running int
	waiting int
	// level is the number of slots per weight up to which a team is served before others.
	level float64
}

// linger is a request that was given up while its target may still run it.
type linger struct {
	waiter *Waiter
	until  time.Time
}

// Table holds all rows that admission decides on; its methods must not run at the same time.
type Table struct {
	random *rand.Rand

	teamNames    names[TeamID]
	serviceNames names[ServiceID]
	targetNames  names[TargetID]

	teams    []team
	services []service
	targets  []target
	lingers  []linger
	timeline func(HealthChange)
}

// Option changes how a Table is built.
type Option func(*Table)

// WithSeed fixes the random choice of targets.
func WithSeed(seed uint64) Option {
	return func(t *Table) { t.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithHealthChanges sends decisions on targets to the time line.
func WithHealthChanges(f func(HealthChange)) Option { return func(t *Table) { t.timeline = f } }

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{
		random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		teamNames:    newNames[TeamID](),
		serviceNames: newNames[ServiceID](),
		targetNames:  newNames[TargetID](),
		timeline:     func(HealthChange) {},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// HealthChange is a decision on a target that operators want to see.
type HealthChange struct {
	Target string
	Change   string
}

// TeamID returns the row of a team, and false when the layout never named it.
func (t *Table) TeamID(name string) (TeamID, bool) {
	i, ok := t.teamNames.byName[name]
	return i, ok
}

// ServiceID returns the row of a service, and false when the layout never named it.
func (t *Table) ServiceID(name string) (ServiceID, bool) {
	i, ok := t.serviceNames.byName[name]
	return i, ok
}

// TargetID returns the row of a target, and false when the layout never named it.
func (t *Table) TargetID(name string) (TargetID, bool) {
	i, ok := t.targetNames.byName[name]
	return i, ok
}

// TargetName returns the name of a target.
func (t *Table) TargetName(i TargetID) string { return t.targets[i].name }

// Address returns the address of a target.
func (t *Table) Address(i TargetID) string { return t.targets[i].address }

// RunLimit returns the longest run of a service's requests.
func (t *Table) RunLimit(s ServiceID) time.Duration { return t.services[s].runLimit }

// TeamLoad returns a team's running and waiting requests.
func (t *Table) TeamLoad(i TeamID) (running, waiting int) {
	return t.teams[i].running, t.teams[i].waiting
}

// rekey brings the key of a waiting lane up to date after its running requests or its quota changed.
func (t *Table) rekey(row *service, l *lane) {
	if l.active >= 0 {
		row.active[l.active].key = l.key(t.teams[l.team].weight)
	}
}

// lane returns a team's lane at a service.
func (t *Table) lane(s ServiceID, i TeamID) *lane {
	row := &t.services[s]
	for len(row.lanes) <= int(i) {
		row.lanes = append(row.lanes, nil)
	}
	if row.lanes[i] == nil {
		row.lanes[i] = &lane{team: i, active: -1, quota: t.levelQuota(row, i)}
	}
	return row.lanes[i]
}
