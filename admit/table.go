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
	services []Service
}

type service struct {
	name     string
	runLimit time.Duration
	targets  []Target
	// free lists the targets with a free slot.
	free []Target
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

	teamNames    names[Team]
	serviceNames names[Service]
	targetNames  names[Target]

	teams    []team
	services []service
	targets  []target
	lingers  []linger
	timeline func(Note)
}

// Option changes how a Table is built.
type Option func(*Table)

// WithSeed fixes the random choice of targets.
func WithSeed(seed uint64) Option {
	return func(t *Table) { t.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithNotes sends decisions on targets to the time line.
func WithNotes(f func(Note)) Option { return func(t *Table) { t.timeline = f } }

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{
		random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		teamNames:    newNames[Team](),
		serviceNames: newNames[Service](),
		targetNames:  newNames[Target](),
		timeline:     func(Note) {},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Note is a decision on a target that operators want to see.
type Note struct {
	Target string
	What   string
}

// Team returns the row of a team, and false when the layout never named it.
func (t *Table) Team(name string) (Team, bool) {
	i, ok := t.teamNames.byName[name]
	return i, ok
}

// Service returns the row of a service, and false when the layout never named it.
func (t *Table) Service(name string) (Service, bool) {
	i, ok := t.serviceNames.byName[name]
	return i, ok
}

// Target returns the row of a target, and false when the layout never named it.
func (t *Table) Target(name string) (Target, bool) {
	i, ok := t.targetNames.byName[name]
	return i, ok
}

// TargetName returns the name of a target.
func (t *Table) TargetName(i Target) string { return t.targets[i].name }

// Address returns the address of a target.
func (t *Table) Address(i Target) string { return t.targets[i].address }

// RunLimit returns the longest run of a service's requests.
func (t *Table) RunLimit(s Service) time.Duration { return t.services[s].runLimit }

// TeamLoad returns a team's running and waiting requests.
func (t *Table) TeamLoad(i Team) (running, waiting int) {
	return t.teams[i].running, t.teams[i].waiting
}

// rekey brings the key of a waiting lane up to date after its running requests or its quota changed.
func (t *Table) rekey(row *service, l *lane) {
	if l.active >= 0 {
		row.active[l.active].key = l.key(t.teams[l.team].weight)
	}
}

// lane returns a team's lane at a service.
func (t *Table) lane(s Service, i Team) *lane {
	row := &t.services[s]
	for len(row.lanes) <= int(i) {
		row.lanes = append(row.lanes, nil)
	}
	if row.lanes[i] == nil {
		row.lanes[i] = &lane{team: i, active: -1, quota: t.levelQuota(row, i)}
	}
	return row.lanes[i]
}
