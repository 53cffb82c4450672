package entry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderwing.example/lavenderwing/admit"
	"lavenderwing.example/lavenderwing/alloc"
	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/peer"
)

// Times of the exchange of demand and slots.
const (
	// holdFor is how long an allocator holds an answer that has nothing new.
	holdFor = time.Second
	// answerWait is how long a peer may take beyond the hold.
	answerWait = 500 * time.Millisecond
	// creditFor is how long slots may be used after the exchange that confirmed them; it is shorter than an allocator's patience.
	creditFor = alloc.ReportTimeout - 500*time.Millisecond
	// probePeriod is how often a peer that did not answer is asked for a heartbeat.
	probePeriod = 500 * time.Millisecond
	// restAfter is how long a process without requests for a service goes on taking part in its division.
	restAfter = 10 * time.Second
	// lackPeriod and changePeriod are the shortest times between two reports while work waits, and otherwise.
	lackPeriod   = 20 * time.Millisecond
	changePeriod = 100 * time.Millisecond
)

// exchanger is this process's side of the division of one service's slots.
type exchanger struct {
	name      string
	service   admit.ServiceID
	allocator string
	applied   uint64
	// calls is the number of exchanges under way.
	calls int
	sent  time.Time
	// confirmed is when the exchange that last confirmed the slots was sent.
	confirmed time.Time
	// busyAt is when the service last had requests here.
	busyAt  time.Time
	demands []alloc.Demand
	// knownTo is the seat that has the last whole report, whose parts follow.
	knownTo      string
	knownDemands []alloc.Demand
	knownUses    []alloc.TargetUsage
	// number counts reports.
	number uint64
	// excess is the number of slots in use beyond the credits at the last report.
	excess int
}

// layoutsOf returns what allocators need to know of each service.
func layoutsOf(t fold.Tables, hosts []fleet.Host) map[string]alloc.ServiceConfig {
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
	layouts := map[string]alloc.ServiceConfig{}
	for _, s := range t.Services.All() {
		layouts[s.Name] = alloc.ServiceConfig{Targets: targets[s.Pool], Weights: weights}
	}
	return layouts
}

// allocatorOf returns the live seat that divides a service's slots: the highest by hash among those that are not suspected.
func allocatorOf(service string, seats []string, suspected func(seat string) bool) string {
	best := ""
	var most uint64
	for _, seat := range seats {
		if suspected(seat) {
			continue
		}
		if h := xxhash.Sum64String(service + "\x00" + seat); best == "" || h > most {
			best, most = seat, h
		}
	}
	return best
}

// exchangeSlots sends a report for each service whose demand has changed or whose held call has returned.
func (n *Node) exchangeSlots(now time.Time) {
	if n.settings.Division == DivideEvenly {
		return
	}
	for _, x := range n.exchangers {
		if now.Sub(x.confirmed) > creditFor && x.applied > 0 {
			// This process was silent for so long that its slots may be another's.
			n.rows.SetCredits(x.service, nil)
			x.applied = 0
			x.knownTo = ""
		}
		if !n.rows.Idle(x.service) {
			x.busyAt = now
		} else if now.Sub(x.busyAt) > restAfter {
			continue
		}
		if x.calls > 0 && len(x.demands) == 0 && x.excess == 0 && n.rows.Idle(x.service) {
			continue
		}
		demands := n.rows.Demands(x.service)
		lacking := n.rows.Saturated(x.service)
		changed := !slices.Equal(demands, x.demands)
		excess := n.rows.RunningOverCredit(x.service)
		since := now.Sub(x.sent)
		urgent := (lacking && changed || excess < x.excess) && since >= lackPeriod
		if x.calls >= 2 || !(x.calls == 0 || urgent || changed && since >= changePeriod) {
			continue
		}
		x.demands = demands
		x.excess = excess
		x.sent = now
		n.startExchange(x, now)
	}
}

func (n *Node) startExchange(x *exchanger, now time.Time) {
	seat := allocatorOf(x.name, n.seats, func(seat string) bool { return !n.suspects[seat].IsZero() })
	if seat == "" {
		return
	}
	if seat != x.allocator {
		n.line.Add(event.KindAllocate, x.name, x.allocator, "slots are divided by "+seat)
		x.allocator = seat
	}
	report := n.report(x, seat)
	x.calls++
	go n.exchange(x, seat, now, peer.ExchangeArgs{Report: report, HoldMs: int(holdFor.Milliseconds())})
}

// report tells an allocator what it does not know from the last report.
func (n *Node) report(x *exchanger, seat string) alloc.Report {
	x.number++
	r := alloc.Report{Service: x.name, Seat: n.settings.Seat, Incarnation: n.writerID, Number: x.number, Applied: x.applied}
	uses := n.rows.Uses(x.service)
	if x.knownTo == seat && slices.Equal(x.demands, x.knownDemands) && slices.Equal(uses, x.knownUses) {
		r.Same = true
		return r
	}
	x.knownTo, x.knownDemands, x.knownUses = seat, x.demands, uses
	r.Demands, r.Uses = x.demands, uses
	return r
}

// exchange makes one call to the allocator, which may be this very process, and applies its answer.
func (n *Node) exchange(x *exchanger, seat string, sent time.Time, args peer.ExchangeArgs) {
	var reply peer.ExchangeReply
	var err error
	if seat == n.settings.Seat {
		reply = n.Exchange(args)
	} else {
		reply, err = n.peers.Exchange(seat, args, holdFor+answerWait)
	}
	if err == nil {
		n.observeFresh(seat, sent, reply)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	x.calls--
	if err != nil {
		x.knownTo = ""
		n.suspect(seat, err)
		return
	}
	if reply.Allocation.Unknown || n.clock.Now().Sub(sent) > creditFor {
		// The allocator knows too little, or this process was paused and the answer is out of date.
		x.knownTo = ""
		return
	}
	if sent.After(x.confirmed) {
		x.confirmed = sent
	}
	n.apply(x, reply.Allocation)
}

// apply puts an allocation in use unless a newer one came first.
func (n *Node) apply(x *exchanger, a alloc.Allocation) {
	if a.Same || a.Sequence <= x.applied {
		return
	}
	x.applied = a.Sequence
	credits := make(map[string]int, len(a.Credits))
	for _, c := range a.Credits {
		credits[c.Target] = c.Slots
	}
	n.rows.SetCredits(x.service, credits)
	if n.settings.Division == DivideByDemand {
		n.rows.SetQuotas(x.service, a)
	}
	n.rows.Dispatch(x.service)
}

// divideEvenly gives this process the same part of each target's slots as every other live one.
func (n *Node) divideEvenly(t fold.Tables) {
	mine, live := slices.Index(n.seats, n.settings.Seat), len(n.seats)
	for i, h := range t.Hosts.All() {
		row, ok := n.rows.TargetID(h.Name)
		if !ok || mine < 0 {
			continue
		}
		credit := h.Slots / live
		if (mine+i)%live < h.Slots%live {
			credit++
		}
		n.rows.SetCredit(row, credit)
	}
}

// Exchange answers another entry process, or this one, as the allocator of a service.
func (n *Node) Exchange(args peer.ExchangeArgs) peer.ExchangeReply {
	var a alloc.Allocation
	if args.Report.Service != "" {
		a = n.allocators.exchange(args.Report, time.Duration(args.HoldMs)*time.Millisecond)
	}
	// The age is taken before the offset, so that the offset is never older than the evidence.
	age := n.freshAge(n.clock.Now())
	return peer.ExchangeReply{Allocation: a, FreshMs: age.Milliseconds(), Offset: n.state.Tables().Offset()}
}

// exchangersOf brings the list of services up to date.
func (n *Node) exchangersOf(t fold.Tables) {
	for _, s := range t.Services.All() {
		if n.exchangers[s.Name] == nil {
			row, _ := n.rows.ServiceID(s.Name)
			n.exchangers[s.Name] = &exchanger{name: s.Name, service: row}
		}
	}
}

// seatsOf returns the live seats in order.
func seatsOf(t fold.Tables) []string {
	var seats []string
	for _, m := range t.Members() {
		if m.Live {
			seats = append(seats, m.Seat)
		}
	}
	return seats
}
