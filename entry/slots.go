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

// Times and periods of the exchange of reports and allocations with allocators.
const (
	// maxHold is how long an allocator may hold its answer while the allocation does not change.
	maxHold = time.Second
	// peerTimeout is how long a peer may take to answer, beyond the hold.
	peerTimeout = 500 * time.Millisecond
	// creditLifetime is how long slots may be used after the exchange that confirmed them was sent. It is shorter than the time after which an allocator gives the slots of a silent process to others.
	creditLifetime = alloc.ReportTimeout - 500*time.Millisecond
	// probePeriod is how often a suspected peer is probed.
	probePeriod = 500 * time.Millisecond
	// maxIdleReporting is how long a process goes on reporting for a service for which it has no requests.
	maxIdleReporting = 10 * time.Second
	// saturatedReportPeriod and changedReportPeriod are the minimum times between two reports with a change: the first while requests wait without a free slot or slots beyond credits are freed, the second otherwise.
	saturatedReportPeriod = 20 * time.Millisecond
	changedReportPeriod   = 100 * time.Millisecond
)

// exchanger exchanges this process's demand for one service's slots with the service's allocator.
type exchanger struct {
	name      string
	serviceID admit.ServiceID
	// allocatorSeat is the seat of the allocator that was last chosen.
	allocatorSeat   string
	appliedSequence uint64
	// inFlight is the number of calls to the allocator that have not returned.
	inFlight   int
	lastSentAt time.Time
	// confirmedAt is when the exchange that last confirmed the slots was sent.
	confirmedAt time.Time
	// lastBusyAt is when the service last had requests in this process.
	lastBusyAt      time.Time
	reportedDemands []alloc.Demand
	// fullReportSeat is the seat that received the last full report, or empty; fullReportDemands and fullReportUses are its contents.
	fullReportSeat    string
	fullReportDemands []alloc.Demand
	fullReportUses    []alloc.TargetUsage
	// reportNumber is the number of the last report.
	reportNumber uint64
	// reportedExcess is the number of slots in use beyond credits at the time of the last report.
	reportedExcess int
}

// allocatorConfigs returns each service's configuration for its allocator.
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

// chooseAllocator returns the seat that divides a service's slots, by rendezvous hashing over the live seats that are not suspected.
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

// exchangeSlots sends a report for each service whose demand has changed or for which no call is in flight.
func (n *Node) exchangeSlots(now time.Time) {
	if n.settings.Division == DivideEvenly {
		return
	}
	for _, x := range n.exchangers {
		if now.Sub(x.confirmedAt) > creditLifetime && x.appliedSequence > 0 {
			// The allocator may have given the slots to others, since it has not heard of this process for so long.
			n.admission.SetCredits(x.serviceID, nil)
			x.appliedSequence = 0
			x.fullReportSeat = ""
		}
		if !n.admission.Idle(x.serviceID) {
			x.lastBusyAt = now
		} else if now.Sub(x.lastBusyAt) > maxIdleReporting {
			continue
		}
		if x.inFlight > 0 && len(x.reportedDemands) == 0 && x.reportedExcess == 0 && n.admission.Idle(x.serviceID) {
			continue
		}
		demands := n.admission.Demands(x.serviceID)
		saturated := n.admission.Saturated(x.serviceID)
		changed := !slices.Equal(demands, x.reportedDemands)
		excess := n.admission.RunningOverCredit(x.serviceID)
		sinceLast := now.Sub(x.lastSentAt)
		urgent := (saturated && changed || excess < x.reportedExcess) && sinceLast >= saturatedReportPeriod
		// At most two calls are in flight: one that the allocator may hold, and one that reports a change.
		if x.inFlight >= 2 || !(x.inFlight == 0 || urgent || changed && sinceLast >= changedReportPeriod) {
			continue
		}
		x.reportedDemands = demands
		x.reportedExcess = excess
		x.lastSentAt = now
		n.startExchange(x, now)
	}
}

func (n *Node) startExchange(x *exchanger, now time.Time) {
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
	go n.exchange(x, seat, now, peer.ExchangeArgs{Report: report, HoldMs: int(maxHold.Milliseconds())})
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

// exchange makes one call to the allocator, which may be this process, and applies the answer.
func (n *Node) exchange(x *exchanger, seat string, sent time.Time, args peer.ExchangeArgs) {
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
		// The allocator needs a full report, or the answer is out of date because this process was paused.
		x.fullReportSeat = ""
		return
	}
	if sent.After(x.confirmedAt) {
		x.confirmedAt = sent
	}
	n.applyAllocation(x, reply.Allocation)
}

// applyAllocation applies an allocation unless a newer one has been applied.
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

// divideEvenly gives this process an equal part of each target's slots; slots that remain rotate over the live processes.
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

// Exchange answers a report as the allocator of a service. Without a report it serves as a heartbeat.
func (n *Node) Exchange(args peer.ExchangeArgs) peer.ExchangeReply {
	var a alloc.Allocation
	if args.Report.Service != "" {
		a = n.allocators.exchange(args.Report, time.Duration(args.HoldMs)*time.Millisecond)
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

// liveSeats returns the seats of live members, sorted.
func liveSeats(t state.Tables) []string {
	var seats []string
	for _, m := range t.Members() {
		if m.Live {
			seats = append(seats, m.Seat)
		}
	}
	return seats
}
