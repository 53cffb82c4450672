package admit

import (
	"math/rand/v2"
	"time"
)

type team struct {
	weight int
	// usableSlots is the part of the team's limit that this entry process may use now.
	usableSlots int
	running     int
	waiting     int
	// services lists the services where the team has waiting requests.
	services []ServiceID
}

type service struct {
	name     string
	runLimit time.Duration
	targets  []TargetID
	// freeTargets lists the targets with a free slot.
	freeTargets []TargetID
	// flows is indexed by TeamID; flows are created on first use.
	flows []*flow
	// activeFlows lists the flows with waiting requests.
	activeFlows []activeFlow
	ejected     int
	running     int
	waiting     int
	// slotsPerWeight is the quota per unit of weight of teams that the allocator has not heard of.
	slotsPerWeight float64
}

// abandonedRequest is a request that was given up while its target may still be running it.
type abandonedRequest struct {
	waiter    *Waiter
	releaseAt time.Time
}

// Table holds the teams, services, targets and waiting and running requests of one entry process. It is not safe for concurrent use.
type Table struct {
	random *rand.Rand

	teamNames    nameIndex[TeamID]
	serviceNames nameIndex[ServiceID]
	targetNames  nameIndex[TargetID]

	teams          []team
	services       []service
	targets        []target
	abandoned      []abandonedRequest
	onHealthChange func(HealthChange)
}

// Option configures a Table.
type Option func(*Table)

// WithSeed seeds the random choice of targets.
func WithSeed(seed uint64) Option {
	return func(t *Table) { t.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithHealthChanges sets the function that receives changes of targets' health.
func WithHealthChanges(f func(HealthChange)) Option { return func(t *Table) { t.onHealthChange = f } }

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		teamNames:      newNameIndex[TeamID](),
		serviceNames:   newNameIndex[ServiceID](),
		targetNames:    newNameIndex[TargetID](),
		onHealthChange: func(HealthChange) {},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// HealthChange is a change of a target's health, for the timeline that operators read.
type HealthChange struct {
	Target string
	Change string
}

// TeamID returns the index of a team, and false if no configuration has named it.
func (t *Table) TeamID(name string) (TeamID, bool) {
	i, ok := t.teamNames.byName[name]
	return i, ok
}

// ServiceID returns the index of a service, and false if no configuration has named it.
func (t *Table) ServiceID(name string) (ServiceID, bool) {
	i, ok := t.serviceNames.byName[name]
	return i, ok
}

// TargetID returns the index of a target, and false if no configuration has named it.
func (t *Table) TargetID(name string) (TargetID, bool) {
	i, ok := t.targetNames.byName[name]
	return i, ok
}

// TargetName returns the name of a target.
func (t *Table) TargetName(i TargetID) string { return t.targets[i].name }

// Address returns the address of a target.
func (t *Table) Address(i TargetID) string { return t.targets[i].address }

// RunLimit returns the time limit for running one of a service's requests.
func (t *Table) RunLimit(s ServiceID) time.Duration { return t.services[s].runLimit }

// TeamLoad returns the numbers of a team's running and waiting requests.
func (t *Table) TeamLoad(i TeamID) (running, waiting int) {
	return t.teams[i].running, t.teams[i].waiting
}

// updateKey recomputes the key of an active flow after its running requests or its quota changed.
func (t *Table) updateKey(svc *service, f *flow) {
	if f.activeIndex >= 0 {
		svc.activeFlows[f.activeIndex].key = f.key(t.teams[f.team].weight)
	}
}

// flow returns a team's flow at a service, which it creates if necessary.
func (t *Table) flow(s ServiceID, i TeamID) *flow {
	svc := &t.services[s]
	for len(svc.flows) <= int(i) {
		svc.flows = append(svc.flows, nil)
	}
	if svc.flows[i] == nil {
		svc.flows[i] = &flow{team: i, activeIndex: -1, quota: t.defaultQuota(svc, i)}
	}
	return svc.flows[i]
}
