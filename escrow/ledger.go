package escrow

import (
	"cmp"
	"slices"

	"lavenderwing.example/lavenderwing/share"
)

// floorPercent is the part of a limit that seats hold without a lease.
const floorPercent = 50

// Ledger is the division of one team's limit over the seats; it is immutable.
type Ledger struct {
	limit int
	// revision grows with each change, so that readers can tell whether to look again.
	revision int64
	// holds is sorted by seat.
	holds []Holding
}

// New returns the ledger of a team that nobody holds units of.
func New(limit int) Ledger { return Ledger{limit: limit} }

// Revision returns a number that grows with each change of the ledger.
func (l Ledger) Revision() int64 { return l.revision }

// Limit returns the divided limit in slots.
func (l Ledger) Limit() int { return l.limit }

// Holdings returns the holds sorted by seat; the caller must not change them.
func (l Ledger) Holdings() []Holding { return l.holds }

// Holding returns the hold of a seat, and the zero Holding when it has none.
func (l Ledger) Holding(seat string) Holding {
	i, ok := l.find(seat)
	if !ok {
		return Holding{}
	}
	return l.holds[i]
}

// HeldUnits returns the units that all seats hold together.
func (l Ledger) HeldUnits() int {
	held := 0
	for _, h := range l.holds {
		held += h.Units()
	}
	return held
}

// WithLimit returns a ledger with another limit, in which free units are given out.
func (l Ledger) WithLimit(limit int) Ledger {
	l.limit = limit
	return l.settled()
}

// WithJoin returns a ledger in which a new incarnation has taken the seat.
func (l Ledger) WithJoin(seat, zone, incarnation string) Ledger {
	h := l.Holding(seat)
	h.Seat = seat
	h.Zone = zone
	return l.with(h.WithIncarnation(incarnation)).settled()
}

// WithLeave returns a ledger without the seat, whose incarnation has finished all its work.
func (l Ledger) WithLeave(seat string) Ledger {
	i, ok := l.find(seat)
	if !ok {
		return l
	}
	l.holds = slices.Delete(slices.Clone(l.holds), i, i+1)
	return l.settled()
}

// WithExpiredLease returns a ledger in which the seat has lost all but its floor.
func (l Ledger) WithExpiredLease(seat string) Ledger {
	i, ok := l.find(seat)
	if !ok {
		return l
	}
	return l.with(l.holds[i].WithElastic(0).WithWant(0)).settled()
}

// WithRequestedUnits returns a ledger in which the seat wants the given number of units, as far as they are free.
func (l Ledger) WithRequestedUnits(seat string, want int) Ledger {
	i, ok := l.find(seat)
	if !ok {
		return l
	}
	return l.with(l.holds[i].WithWant(want)).settled()
}

// WithKeptUnits returns a ledger in which the seat keeps at most the given number of units, but never less than its due floor.
func (l Ledger) WithKeptUnits(seat string, keep int) Ledger {
	i, ok := l.find(seat)
	if !ok {
		return l
	}
	h := l.holds[i]
	floor := min(h.Floor, max(keep, l.floors()[i]))
	elastic := min(h.Elastic, max(keep-floor, 0))
	return l.with(h.WithFloor(floor).WithElastic(elastic)).settled()
}

// FairCap returns the most units that the seat should use while another seat lacks units, and its held units otherwise.
func (l Ledger) FairCap(seat string) int {
	i, ok := l.find(seat)
	if !ok {
		return 0
	}
	held := l.holds[i].Units()
	due := l.floors()
	if !l.contended(due) {
		return held
	}
	return min(held, l.ideals(due)[i])
}

// ideals returns each seat's fair part of the limit: its due floor, and a max-min part of the rest by what it wants.
func (l Ledger) ideals(due []int) []int {
	claims := make([]share.Contender, len(l.holds))
	left := l.limit
	for i, h := range l.holds {
		left -= due[i]
		claims[i] = share.Contender{Demand: h.Want - due[i]}
	}
	share.Divide(left, claims)
	ideals := make([]int, len(claims))
	for i, c := range claims {
		ideals[i] = due[i] + c.Allocated
	}
	return ideals
}

// contended reports whether a seat lacks units, of its due floor or of what it wants.
func (l Ledger) contended(due []int) bool {
	if l.HeldUnits() > l.limit {
		return true
	}
	for i, h := range l.holds {
		if h.unmet() > 0 || h.Floor < due[i] {
			return true
		}
	}
	return false
}

func (l Ledger) find(seat string) (int, bool) {
	return slices.BinarySearchFunc(l.holds, seat, func(h Holding, s string) int { return cmp.Compare(h.Seat, s) })
}

func (l Ledger) with(h Holding) Ledger {
	i, ok := l.find(h.Seat)
	l.holds = slices.Clone(l.holds)
	if ok {
		l.holds[i] = h
		return l
	}
	l.holds = slices.Insert(l.holds, i, h)
	return l
}

// settled gives out free units, first up to each seat's due floor and then towards each seat's fair part of what it wants.
func (l Ledger) settled() Ledger {
	l.revision++
	free := l.limit - l.HeldUnits()
	if free <= 0 {
		return l
	}
	l.holds = slices.Clone(l.holds)
	due := l.floors()
	for i := range l.holds {
		add := min(free, due[i]-l.holds[i].Floor)
		if add > 0 {
			l.holds[i].Floor += add
			free -= add
		}
	}
	ideals := l.ideals(due)
	claims := make([]share.Contender, len(l.holds))
	for i, h := range l.holds {
		claims[i] = share.Contender{Demand: min(h.unmet(), ideals[i]-h.Units())}
	}
	share.Divide(free, claims)
	for i := range claims {
		l.holds[i].Elastic += claims[i].Allocated
	}
	return l
}

// floors returns each seat's due floor: the floor part of the limit divided evenly over zones, then over a zone's seats.
func (l Ledger) floors() []int {
	var zones []string
	for _, h := range l.holds {
		zones = append(zones, h.Zone)
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	due := make([]int, len(l.holds))
	for zone, name := range zones {
		l.fillZone(name, part(l.limit*floorPercent/100, len(zones), zone), due)
	}
	return due
}

func (l Ledger) fillZone(zone string, units int, due []int) {
	var seats []int
	for i, h := range l.holds {
		if h.Zone == zone {
			seats = append(seats, i)
		}
	}
	for n, i := range seats {
		due[i] = part(units, len(seats), n)
	}
}

// part returns the i-th of n nearly equal parts of units.
func part(units, n, i int) int {
	whole := units / n
	if i < units%n {
		return whole + 1
	}
	return whole
}
