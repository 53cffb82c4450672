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
	// slotsPerWeight is the quota per unit of weight of teams that the service's last allocation does not name.
	slotsPerWeight float64
}

// abandonedRequest is a request whose answer is no longer awaited although its target may still be running it; it keeps its slot until releaseAt.
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
	id, ok := t.teamNames.byName[name]
	return id, ok
}

// ServiceID returns the index of a service, and false if no configuration has named it.
func (t *Table) ServiceID(name string) (ServiceID, bool) {
	id, ok := t.serviceNames.byName[name]
	return id, ok
}

// TargetID returns the index of a target, and false if no configuration has named it.
func (t *Table) TargetID(name string) (TargetID, bool) {
	id, ok := t.targetNames.byName[name]
	return id, ok
}

// TargetName returns the name of a target.
func (t *Table) TargetName(id TargetID) string { return t.targets[id].name }

// Address returns the address of a target.
func (t *Table) Address(id TargetID) string { return t.targets[id].address }

// RunLimit returns the time limit for running one of a service's requests.
func (t *Table) RunLimit(s ServiceID) time.Duration { return t.services[s].runLimit }

// TeamLoad returns the numbers of a team's running and waiting requests.
func (t *Table) TeamLoad(id TeamID) (running, waiting int) {
	return t.teams[id].running, t.teams[id].waiting
}

// updateQuotaUsage updates the stored quotaUsage of an active flow after its running requests or its quota changed.
func (t *Table) updateQuotaUsage(svc *service, f *flow) {
	if f.activeIndex >= 0 {
		svc.activeFlows[f.activeIndex].quotaUsage = f.quotaUsage(t.teams[f.team].weight)
	}
}

// flow returns a team's flow at a service, which it creates if necessary.
func (t *Table) flow(s ServiceID, id TeamID) *flow {
	svc := &t.services[s]
	for len(svc.flows) <= int(id) {
		svc.flows = append(svc.flows, nil)
	}
	if svc.flows[id] == nil {
		svc.flows[id] = &flow{team: id, activeIndex: -1, quota: t.defaultQuota(svc, id)}
	}
	return svc.flows[id]
}
