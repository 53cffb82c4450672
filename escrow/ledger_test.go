package escrow

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestUnitsFollowDemand(t *testing.T) {
	is := is.New(t)
	l := New(20).WithJoin("a", "z1", "a1").WithJoin("b", "z2", "b1")
	is.Equal(l.Holding("b").Floor, 5)
	l = l.WithRequestedUnits("a", 18)
	is.Equal(l.Holding("a").Units(), 15) // the other zone's floor stays with it
	l = l.WithRequestedUnits("b", 18)
	is.Equal(l.FairCap("a"), 10) // the free units are due in equal parts
	l = l.WithKeptUnits("a", l.FairCap("a"))
	is.Equal(l.Holding("b").Units(), 10)
}

// TestLateSeatGetsItsFloor covers a limit that the first seat took whole before the second one joined.
func TestLateSeatGetsItsFloor(t *testing.T) {
	is := is.New(t)
	l := New(4).WithJoin("a", "z1", "a1").WithRequestedUnits("a", 4).WithJoin("b", "z2", "b1")
	is.Equal(l.Holding("b").Units(), 0)
	is.Equal(l.FairCap("a"), 3)
	l = l.WithKeptUnits("a", l.FairCap("a"))
	is.Equal(l.Holding("b").Floor, 1)
}

func TestSuccessorInheritsUnits(t *testing.T) {
	is := is.New(t)
	l := New(10).WithJoin("a", "z", "a1").WithRequestedUnits("a", 10)
	l = l.WithJoin("a", "z", "a2")
	is.Equal(l.Holding("a").Inherited, 10) // the earlier incarnation may still use them all
	l = l.WithExpiredLease("a")
	is.Equal(l.Holding("a").Units(), 10-5) // only the floor stays
}

// TestNeverMoreThanLimit checks over random histories that the units held never exceed the highest limit that still applies.
func TestNeverMoreThanLimit(t *testing.T) {
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
				t.Fatalf("held %d of limit %d, before %d", held, l.Limit(), before)
			}
			for _, h := range l.Holdings() {
				if h.Floor < 0 || h.Elastic < 0 || h.Inherited < 0 || h.Inherited > h.Units() {
					t.Fatalf("impossible hold %+v", h)
				}
			}
		}
	})
}
