package alloc

import (
	"maps"
	"slices"
	"time"
)

// Timeouts and periods of the allocator.
const (
	// ReportTimeout is how long the allocator keeps the slots of an entry process for it after its last report.
	ReportTimeout = 3 * time.Second
	// warmupPeriod is the time in which an allocator only confirms the slots that entry processes report. It starts with the first report, and again with the first one after a pause longer than ReportTimeout.
	warmupPeriod = 150 * time.Millisecond
	// rotationPeriod is the minimum time between two rotations (see rotateSlots).
	rotationPeriod = 250 * time.Millisecond
)

// Allocator allocates the slots of one service; it is not safe for concurrent use.
type Allocator struct {
	config       ServiceConfig
	processes    map[string]*processState
	startedAt    time.Time
	lastReportAt time.Time
	rotatedAt    time.Time
	// level and spareSlots are results of the last division, see Allocation.Level and Quota.Spare.
	level      float64
	spareSlots map[string]int
	// rotations counts the rotations (see rotateSlots), and selects the seat at which a rotation starts its search for processes.
	rotations int
	// outliers holds the failure state of each target, and usableSlots the slots of each target after ejections.
	outliers    map[string]*outlier
	usableSlots map[string]int
	// dirty is set when the slots must be divided again because of a new report or configuration.
	dirty bool
}

// New returns an allocator without configuration or reports.
func New() *Allocator {
	return &Allocator{processes: map[string]*processState{}, outliers: map[string]*outlier{}}
}

// Configure replaces the service's targets and weights.
func (a *Allocator) Configure(config ServiceConfig) {
	a.config = config
	a.dirty = true
}

// HandleReport records an entry process's report and returns the allocation of the process. A report that arrives after a newer one still shows that the process is alive and which allocation it uses, but the rest of it is ignored (see recordReport).
func (a *Allocator) HandleReport(r Report, now time.Time) Allocation {
	if now.Sub(a.lastReportAt) > ReportTimeout {
		// The allocator is new, or it was paused and another one may have allocated the slots in the meantime.
		a.startedAt = now
		a.processes = map[string]*processState{}
	}
	a.lastReportAt = now
	if r.Same {
		p := a.processes[r.Seat]
		if p == nil || p.incarnation != r.Incarnation || p.sequence != r.Applied {
			return Allocation{Unknown: true}
		}
		p.lastReportAt = now
		return a.respond(p, r.Applied, now)
	}
	return a.respond(a.recordReport(r, now), r.Applied, now)
}

// respond returns the allocation of a process that has reported, after a new division of the slots if one is due. It omits an allocation that the process has applied.
func (a *Allocator) respond(p *processState, applied uint64, now time.Time) Allocation {
	if a.removeSilent(now) || a.dirty || now.Sub(a.rotatedAt) >= rotationPeriod {
		a.divideSlots(now)
		a.dirty = false
	}
	allocation := a.allocate(p, now)
	if allocation.Sequence == applied {
		return Allocation{Sequence: applied, Same: true}
	}
	return allocation
}

// Refresh returns the allocation of an entry process that has reported before, brought up to date with the last division of the slots, and whether it differs from the previous allocation of that process. It does not divide the slots again.
func (a *Allocator) Refresh(seat string, now time.Time) (Allocation, bool) {
	p := a.processes[seat]
	if p == nil {
		return Allocation{}, false
	}
	before := p.sequence
	allocation := a.allocate(p, now)
	return allocation, p.sequence != before
}

// SeatsToUpdate returns the sorted seats, except the given one, that have more slots than desired, or fewer while free slots can be granted.
func (a *Allocator) SeatsToUpdate(except string, now time.Time) []string {
	var seats []string
	free := a.freeSlots()
	available := 0
	for _, n := range free {
		available += max(n, 0)
	}
	for seat, p := range a.processes {
		granted := sumSlots(p.grantedSlots)
		if seat != except && (granted > p.desiredSlots || granted < p.desiredSlots && available > 0 && !a.warmingUp(now)) {
			seats = append(seats, seat)
		}
	}
	slices.Sort(seats)
	return seats
}

// warmingUp reports whether the allocator grants no further slots, because it may not know yet which slots other processes have.
func (a *Allocator) warmingUp(now time.Time) bool { return now.Sub(a.startedAt) < warmupPeriod }

// recordReport updates the state of the reporting process. Of a report that arrives after a newer one, it uses only the time of arrival and, if the process has applied a newer allocation than this allocator knows, the slots of that allocation.
func (a *Allocator) recordReport(r Report, now time.Time) *processState {
	p := a.processes[r.Seat]
	if p == nil || p.incarnation != r.Incarnation {
		p = &processState{seat: r.Seat, incarnation: r.Incarnation, quotas: map[string]int{}}
		p.adoptReported(r)
		a.processes[r.Seat] = p
	}
	if r.Applied > p.sequence {
		// Another allocator has served the process in the meantime.
		p.adoptReported(r)
	}
	p.lastReportAt = now
	if r.Number < p.lastReportNumber {
		return p
	}
	p.lastReportNumber = r.Number
	a.dirty = true
	a.observeEjections(r, now)
	p.demands = map[string]int{}
	for _, d := range r.Demands {
		p.demands[d.Team] += d.Want
	}
	p.running = map[string]int{}
	for _, u := range r.Uses {
		p.running[u.Target] = u.Running
	}
	if r.Applied >= p.sequence {
		// The process has applied the newest allocation, so it cannot start requests on slots of earlier ones any more. Requests that still run on such slots are counted below.
		p.committedSlots = maps.Clone(p.grantedSlots)
	}
	for target, n := range p.running {
		p.raiseCommitted(target, n)
	}
	return p
}

// removeSilent removes entry processes that have stopped reporting, and reports whether there were any.
func (a *Allocator) removeSilent(now time.Time) bool {
	before := len(a.processes)
	maps.DeleteFunc(a.processes, func(_ string, p *processState) bool { return now.Sub(p.lastReportAt) > ReportTimeout })
	return len(a.processes) != before
}
