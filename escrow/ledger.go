package escrow

import (
	"cmp"
	"slices"

	"lavenderwing.example/lavenderwing/share"
)

// floorPercent is the percentage of a limit that is divided into floors, which need no lease.
const floorPercent = 50

// Ledger holds the division of one team's limit among the seats, in units of one slot each; it is immutable.
//
// The due floor of a seat is the floor that it should have (see dueFloors). Its actual floor may be lower while other seats
// hold the missing units, and higher until the seat releases the units beyond the due floor.
type Ledger struct {
	limit int
	// revision increases with each change, so that readers can detect changes.
	revision int64
	// holdings is sorted by seat.
	holdings []Holding
}

// New returns the ledger of a limit of which no units are held.
func New(limit int) Ledger { return Ledger{limit: limit} }

// Revision returns a number that increases with each change of the ledger.
func (l Ledger) Revision() int64 { return l.revision }

// Limit returns the divided limit in slots.
func (l Ledger) Limit() int { return l.limit }

// Holdings returns the holdings sorted by seat; the caller must not modify them.
func (l Ledger) Holdings() []Holding { return l.holdings }

// Holding returns the holding of a seat, or the zero Holding if it has none.
func (l Ledger) Holding(seat string) Holding {
	i, ok := l.find(seat)
	if !ok {
		return Holding{}
	}
	return l.holdings[i]
}

// HeldUnits returns the number of units that all seats hold together.
func (l Ledger) HeldUnits() int {
	held := 0
	for _, h := range l.holdings {
		held += h.Units()
	}
	return held
}

// WithLimit returns a ledger with another limit, whose free units are assigned.
func (l Ledger) WithLimit(limit int) Ledger {
	l.limit = limit
	return l.withFreeUnitsAssigned()
}

// WithJoin returns a ledger in which a new incarnation has taken the seat.
func (l Ledger) WithJoin(seat, zone, incarnation string) Ledger {
	h := l.Holding(seat)
	h.Seat = seat
	h.Zone = zone
	return l.withHolding(h.WithIncarnation(incarnation)).withFreeUnitsAssigned()
}

// WithLeave returns a ledger without the seat, whose incarnation has finished all its requests.
func (l Ledger) WithLeave(seat string) Ledger {
	i, ok := l.find(seat)
	if !ok {
		return l
	}
	l.holdings = slices.Delete(slices.Clone(l.holdings), i, i+1)
	return l.withFreeUnitsAssigned()
}

// WithExpiredLease returns a ledger in which the seat keeps only its floor and wants no units.
func (l Ledger) WithExpiredLease(seat string) Ledger {
	i, ok := l.find(seat)
	if !ok {
		return l
	}
	return l.withHolding(l.holdings[i].WithElastic(0).WithWant(0)).withFreeUnitsAssigned()
}

// WithRequestedUnits returns a ledger in which the seat wants the given number of units in total, and in which the free units are assigned. A seat keeps the units that it holds beyond the number that it wants.
func (l Ledger) WithRequestedUnits(seat string, want int) Ledger {
	i, ok := l.find(seat)
	if !ok {
		return l
	}
	return l.withHolding(l.holdings[i].WithWant(want)).withFreeUnitsAssigned()
}

// WithKeptUnits returns a ledger in which the seat has released its units beyond the given number, except floor units up to its due floor. The released units are assigned like other free units, possibly to the same seat while it wants them.
func (l Ledger) WithKeptUnits(seat string, keep int) Ledger {
	i, ok := l.find(seat)
	if !ok {
		return l
	}
	h := l.holdings[i]
	floor := min(h.Floor, max(keep, l.dueFloors()[i]))
	elastic := min(h.Elastic, max(keep-floor, 0))
	return l.withHolding(h.WithFloor(floor).WithElastic(elastic)).withFreeUnitsAssigned()
}

// FairCap returns the most units that the seat should use: its fair units while a seat lacks units or the limit is exceeded, and all held units otherwise.
func (l Ledger) FairCap(seat string) int {
	i, ok := l.find(seat)
	if !ok {
		return 0
	}
	held := l.holdings[i].Units()
	due := l.dueFloors()
	if !l.contended(due) {
		return held
	}
	return min(held, l.fairUnits(due)[i])
}

// fairUnits returns each seat's fair part of the limit: its due floor, and a max-min fair part of the rest by wanted units.
func (l Ledger) fairUnits(due []int) []int {
	contenders := make([]share.Contender, len(l.holdings))
	rest := l.limit
	for i, h := range l.holdings {
		rest -= due[i]
		contenders[i] = share.Contender{Demand: h.Want - due[i]}
	}
	share.Divide(rest, contenders)
	fair := make([]int, len(contenders))
	for i, c := range contenders {
		fair[i] = due[i] + c.Allocated
	}
	return fair
}

// contended reports whether the limit is exceeded, or a seat lacks units of its due floor or of its wanted units.
func (l Ledger) contended(due []int) bool {
	if l.HeldUnits() > l.limit {
		return true
	}
	for i, h := range l.holdings {
		if h.unmetUnits() > 0 || h.Floor < due[i] {
			return true
		}
	}
	return false
}

func (l Ledger) find(seat string) (int, bool) {
	return slices.BinarySearchFunc(l.holdings, seat, func(h Holding, s string) int { return cmp.Compare(h.Seat, s) })
}

func (l Ledger) withHolding(h Holding) Ledger {
	i, ok := l.find(h.Seat)
	l.holdings = slices.Clone(l.holdings)
	if ok {
		l.holdings[i] = h
		return l
	}
	l.holdings = slices.Insert(l.holdings, i, h)
	return l
}

// withFreeUnitsAssigned assigns the free units, first up to each seat's due floor and then, as far as they are wanted, up to each seat's fair units.
func (l Ledger) withFreeUnitsAssigned() Ledger {
	l.revision++
	free := l.limit - l.HeldUnits()
	if free <= 0 {
		return l
	}
	l.holdings = slices.Clone(l.holdings)
	due := l.dueFloors()
	for i := range l.holdings {
		add := min(free, due[i]-l.holdings[i].Floor)
		if add > 0 {
			l.holdings[i].Floor += add
			free -= add
		}
	}
	fair := l.fairUnits(due)
	contenders := make([]share.Contender, len(l.holdings))
	for i, h := range l.holdings {
		contenders[i] = share.Contender{Demand: min(h.unmetUnits(), fair[i]-h.Units())}
	}
	share.Divide(free, contenders)
	for i := range contenders {
		l.holdings[i].Elastic += contenders[i].Allocated
	}
	return l
}

// dueFloors returns each seat's due floor: the floor part of the limit divided evenly among availability zones, then among the seats of a zone.
func (l Ledger) dueFloors() []int {
	var zones []string
	for _, h := range l.holdings {
		zones = append(zones, h.Zone)
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	due := make([]int, len(l.holdings))
	for i, zone := range zones {
		l.divideZoneFloor(zone, evenPart(l.limit*floorPercent/100, len(zones), i), due)
	}
	return due
}

// divideZoneFloor sets the due floors of a zone's seats, which divide the given units evenly.
func (l Ledger) divideZoneFloor(zone string, units int, due []int) {
	var seats []int
	for i, h := range l.holdings {
		if h.Zone == zone {
			seats = append(seats, i)
		}
	}
	for n, i := range seats {
		due[i] = evenPart(units, len(seats), n)
	}
}

// evenPart returns the i-th of n parts of units that differ by at most one.
func evenPart(units, n, i int) int {
	quotient := units / n
	if i < units%n {
		return quotient + 1
	}
	return quotient
}
