package entry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderwing.example/lavenderwing/admit"
	"lavenderwing.example/lavenderwing/alloc"
	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/peer"
	"lavenderwing.example/lavenderwing/state"
)

// Timeouts and intervals of the calls that report demand to allocators and return allocations.
const (
	// maxHold is how long an allocator may hold its reply while the allocation does not change.
	maxHold = time.Second
	// peerTimeout is how long a peer may take to reply; a call that the allocator may hold gets maxHold in addition.
	peerTimeout = 500 * time.Millisecond
	// creditLifetime is how long this process's credits (the slots of targets that the allocator granted to it) stay usable after the report that confirmed them was sent. It is shorter than alloc.ReportTimeout, after which the allocator gives the slots of a silent process to others.
	creditLifetime = alloc.ReportTimeout - 500*time.Millisecond
	// probePeriod is how often a suspected peer is probed.
	probePeriod = 500 * time.Millisecond
	// maxIdleReporting is how long this process goes on reporting for a service after its last request for that service has ended.
	maxIdleReporting = 10 * time.Second
	// saturatedReportPeriod is the minimum time between a report and an urgent one (see sendReports) while a call is in flight.
	saturatedReportPeriod = 20 * time.Millisecond
	// changedReportPeriod is the minimum time between a report and one with another changed demand while a call is in flight.
	changedReportPeriod = 100 * time.Millisecond
)

// exchanger holds the state of the calls in which this process reports its demand for one service's slots to the service's allocator and receives its allocation.
type exchanger struct {
	name      string
	serviceID admit.ServiceID
	// allocatorSeat is the seat of the entry process that was last chosen as the service's allocator.
	allocatorSeat string
	// appliedSequence is the sequence of the newest applied allocation, or zero if none is in use.
	appliedSequence uint64
	// inFlight is the number of calls to the allocator that have not returned.
	inFlight   int
	lastSentAt time.Time
	// confirmedAt is when the report whose reply last confirmed the credits was sent.
	confirmedAt time.Time
	// lastBusyAt is when the service last had requests in this process.
	lastBusyAt      time.Time
	reportedDemands []alloc.Demand
	// fullReportSeat is the seat of the allocator that received the last full report, or empty if the next report must be full. fullReportDemands and fullReportUses are the contents of the last full report.
	fullReportSeat    string
	fullReportDemands []alloc.Demand
	fullReportUses    []alloc.TargetUsage
	// reportNumber is the number of the last report.
	reportNumber uint64
	// reportedOverCredit is the number of slots in use beyond the credits at the time of the last report.
	reportedOverCredit int
}

// allocatorConfigs returns, for each service, the targets that are not draining and the weights of all teams, by which an allocator divides the service's slots.
func allocatorConfigs(t state.Tables, hosts []fleet.Host) map[string]alloc.ServiceConfig {
	weights := map[string]int{openTeam: 1}
	for _, team := range t.Teams.All() {
		weights[team.Name] = team.Share
	}
	targets := map[string][]alloc.Target{}
	for _, h := range hosts {
		if !h.Draining {
			targets[h.Pool] = append(targets[h.Pool], alloc.Target{Name: h.Name, Slots: h.Slots})
		}
	}
	configs := map[string]alloc.ServiceConfig{}
	for _, s := range t.Services.All() {
		configs[s.Name] = alloc.ServiceConfig{Targets: targets[s.Pool], Weights: weights}
	}
	return configs
}

// chooseAllocator returns the seat of the entry process that divides a service's slots, by rendezvous hashing over the seats that are not suspected. It returns an empty string if all are suspected.
func chooseAllocator(service string, seats []string, suspected func(seat string) bool) string {
	best := ""
	var highest uint64
	for _, seat := range seats {
		if suspected(seat) {
			continue
		}
		if h := xxhash.Sum64String(service + "\x00" + seat); best == "" || h > highest {
			best, highest = seat, h
		}
	}
	return best
}

// sendReports sends a report for each service for which no call is in flight or whose demand has changed. It skips services that have been idle for longer than maxIdleReporting, and first drops credits that were not confirmed for creditLifetime.
func (n *Node) sendReports(now time.Time) {
	if n.settings.Division == DivideEvenly {
		return
	}
	for _, x := range n.exchangers {
		if now.Sub(x.confirmedAt) > creditLifetime && x.appliedSequence > 0 {
			// The allocator may have given the slots to others, because no report reached it for so long.
			n.admission.SetCredits(x.serviceID, nil)
			x.appliedSequence = 0
			x.fullReportSeat = ""
		}
		if !n.admission.Idle(x.serviceID) {
			x.lastBusyAt = now
		} else if now.Sub(x.lastBusyAt) > maxIdleReporting {
			continue
		}
		// While the service stays idle, the call in flight is enough: its report already says that there is no demand and that no slot is in use beyond the credits.
		if x.inFlight > 0 && len(x.reportedDemands) == 0 && x.reportedOverCredit == 0 && n.admission.Idle(x.serviceID) {
			continue
		}
		demands := n.admission.Demands(x.serviceID)
		saturated := n.admission.Saturated(x.serviceID)
		changed := !slices.Equal(demands, x.reportedDemands)
		overCredit := n.admission.RunningOverCredit(x.serviceID)
		sinceLast := now.Sub(x.lastSentAt)
		// A report is urgent if requests wait without a free slot and the demand has changed, or if slots beyond the credits were freed, which the allocator can give to other processes.
		urgent := (saturated && changed || overCredit < x.reportedOverCredit) && sinceLast >= saturatedReportPeriod
		// At most two calls are in flight: one that the allocator may hold, and one that reports a change. Without a call in flight the report is sent at once, also if nothing has changed.
		if x.inFlight >= 2 || !(x.inFlight == 0 || urgent || changed && sinceLast >= changedReportPeriod) {
			continue
		}
		x.reportedDemands = demands
		x.reportedOverCredit = overCredit
		x.lastSentAt = now
		n.sendReport(x, now)
	}
}

// sendReport sends a report to the service's allocator in the background. It does nothing if all seats are suspected.
func (n *Node) sendReport(x *exchanger, now time.Time) {
	seat := chooseAllocator(x.name, n.liveSeats, func(seat string) bool { return !n.suspects[seat].IsZero() })
	if seat == "" {
		return
	}
	if seat != x.allocatorSeat {
		n.timeline.Add(event.KindAllocate, x.name, x.allocatorSeat, "slots are divided by "+seat)
		x.allocatorSeat = seat
	}
	report := n.buildReport(x, seat)
	x.inFlight++
	go n.callAllocator(x, seat, now, peer.ExchangeArgs{Report: report, HoldMs: int(maxHold.Milliseconds())})
}

// buildReport returns the next report to an allocator, without demands and uses if they are the same as in the last full report.
func (n *Node) buildReport(x *exchanger, seat string) alloc.Report {
	x.reportNumber++
	r := alloc.Report{Service: x.name, Seat: n.settings.Seat, Incarnation: n.writerID, Number: x.reportNumber, Applied: x.appliedSequence}
	uses := n.admission.Uses(x.serviceID)
	if x.fullReportSeat == seat && slices.Equal(x.reportedDemands, x.fullReportDemands) && slices.Equal(uses, x.fullReportUses) {
		r.Same = true
		return r
	}
	x.fullReportSeat, x.fullReportDemands, x.fullReportUses = seat, x.reportedDemands, uses
	r.Demands, r.Uses = x.reportedDemands, uses
	return r
}

// callAllocator sends a report to the allocator, which may be this process, and applies the allocation in the reply.
func (n *Node) callAllocator(x *exchanger, seat string, sent time.Time, args peer.ExchangeArgs) {
	var reply peer.ExchangeReply
	var err error
	if seat == n.settings.Seat {
		reply = n.Exchange(args)
	} else {
		reply, err = n.peers.Exchange(seat, args, maxHold+peerTimeout)
	}
	if err == nil {
		n.observePeerState(seat, sent, reply)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	x.inFlight--
	if err != nil {
		x.fullReportSeat = ""
		n.markSuspected(seat, err)
		return
	}
	if reply.Allocation.Unknown || n.clock.Now().Sub(sent) > creditLifetime {
		// The allocator needs a full report, or the reply is out of date because this process was paused.
		x.fullReportSeat = ""
		return
	}
	if sent.After(x.confirmedAt) {
		x.confirmedAt = sent
	}
	n.applyAllocation(x, reply.Allocation)
}

// applyAllocation applies an allocation, unless it or a newer one has been applied before.
func (n *Node) applyAllocation(x *exchanger, a alloc.Allocation) {
	if a.Same || a.Sequence <= x.appliedSequence {
		return
	}
	x.appliedSequence = a.Sequence
	credits := make(map[string]int, len(a.Credits))
	for _, c := range a.Credits {
		credits[c.Target] = c.Slots
	}
	n.admission.SetCredits(x.serviceID, credits)
	if n.settings.Division == DivideByDemand {
		n.admission.SetQuotas(x.serviceID, a)
	}
	n.admission.Dispatch(x.serviceID)
}

// divideEvenly gives this process an equal part of each target's slots. If the slots of a target do not divide evenly, some of the live processes get one more; these start at another process for each target.
func (n *Node) divideEvenly(t state.Tables) {
	own, live := slices.Index(n.liveSeats, n.settings.Seat), len(n.liveSeats)
	for i, h := range t.Hosts.All() {
		id, ok := n.admission.TargetID(h.Name)
		if !ok || own < 0 {
			continue
		}
		credit := h.Slots / live
		if (own+i)%live < h.Slots%live {
			credit++
		}
		n.admission.SetCredit(id, credit)
	}
}

// Exchange replies to a peer's report with an allocation, as the allocator of the reported service, and tells how recent the state of this process is. A call whose report names no service is a heartbeat.
func (n *Node) Exchange(args peer.ExchangeArgs) peer.ExchangeReply {
	var a alloc.Allocation
	if args.Report.Service != "" {
		a = n.allocators.handleReport(args.Report, time.Duration(args.HoldMs)*time.Millisecond)
	}
	// The age is read before the offset, so that the offset is never older than the state that the age describes.
	age := n.stateAge(n.clock.Now())
	return peer.ExchangeReply{Allocation: a, FreshMs: age.Milliseconds(), Offset: n.state.Tables().Offset()}
}

// addExchangers creates the exchangers of new services.
func (n *Node) addExchangers(t state.Tables) {
	for _, s := range t.Services.All() {
		if n.exchangers[s.Name] == nil {
			id, _ := n.admission.ServiceID(s.Name)
			n.exchangers[s.Name] = &exchanger{name: s.Name, serviceID: id}
		}
	}
}

// liveSeats returns the seats of the live members. They are sorted, because Tables.Members is sorted by seat.
func liveSeats(t state.Tables) []string {
	var seats []string
	for _, m := range t.Members() {
		if m.Live {
			seats = append(seats, m.Seat)
		}
	}
	return seats
}
