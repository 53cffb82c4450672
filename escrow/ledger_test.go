package escrow

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestUnitsFollowDemand checks that a seat with demand gets all units but the floor of the other zone, and that the units beyond the floors are divided equally once the other seat has demand too.
func TestUnitsFollowDemand(t *testing.T) {
	is := is.New(t)
	l := New(20).WithJoin("a", "z1", "a1").WithJoin("b", "z2", "b1")
	is.Equal(l.Holding("b").Floor, 5)
	l = l.WithRequestedUnits("a", 18)
	is.Equal(l.Holding("a").Units(), 15) // the floor of the other zone is reserved
	l = l.WithRequestedUnits("b", 18)
	is.Equal(l.FairCap("a"), 10) // the units beyond the floors are divided equally
	l = l.WithKeptUnits("a", l.FairCap("a"))
	is.Equal(l.Holding("b").Units(), 10)
}

// TestLateSeatGetsItsFloor checks that a seat gets its floor although another seat held the whole limit when it joined. The other seat's FairCap must tell it to release units, or the late seat would never get any.
func TestLateSeatGetsItsFloor(t *testing.T) {
	is := is.New(t)
	l := New(4).WithJoin("a", "z1", "a1").WithRequestedUnits("a", 4).WithJoin("b", "z2", "b1")
	is.Equal(l.Holding("b").Units(), 0)
	is.Equal(l.FairCap("a"), 3)
	l = l.WithKeptUnits("a", l.FairCap("a"))
	is.Equal(l.Holding("b").Floor, 1)
}

// TestNewIncarnationInheritsUnits checks that the units of an earlier incarnation, whose requests may still run, stay with the seat as inherited units and are not given to others.
func TestNewIncarnationInheritsUnits(t *testing.T) {
	is := is.New(t)
	l := New(10).WithJoin("a", "z", "a1").WithRequestedUnits("a", 10)
	l = l.WithJoin("a", "z", "a2")
	is.Equal(l.Holding("a").Inherited, 10) // the earlier incarnation may still use all of them
	l = l.WithExpiredLease("a")
	is.Equal(l.Holding("a").Units(), 10-5) // only the floor remains
}

// TestHeldUnitsNeverExceedLimit checks in random histories that the held units never exceed the limit, or else the team could run more requests than its limit. After the limit was lowered, the held units may exceed it, but must not increase.
func TestHeldUnitsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 60).Draw(t, "limit")
		l := New(limit)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			seat := fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(t, "seat"))
			zone := fmt.Sprintf("z%d", int(seat[1]-'0')%3)
			units := rapid.IntRange(0, 80).Draw(t, "units")
			before := l.HeldUnits()
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				l = l.WithJoin(seat, zone, "i")
			case 1:
				l = l.WithLeave(seat)
			case 2:
				l = l.WithExpiredLease(seat)
			case 3:
				l = l.WithRequestedUnits(seat, units)
			case 4:
				l = l.WithKeptUnits(seat, units)
			case 5:
				l = l.WithLimit(units)
			}
			if held := l.HeldUnits(); held > max(l.Limit(), before) {
				t.Fatalf("%d units held with limit %d, %d held before", held, l.Limit(), before)
			}
			for _, h := range l.Holdings() {
				if h.Floor < 0 || h.Elastic < 0 || h.Inherited < 0 || h.Inherited > h.Units() {
					t.Fatalf("invalid holding %+v", h)
				}
			}
		}
	})
}
