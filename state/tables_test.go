package state

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/record"
)

func newBatch(writer string, sequence uint64, records ...record.Record) record.Batch {
	return record.Batch{Writer: writer, Sequence: sequence, Records: records}
}

func newChange(operator string, expect int64, rows ...fleet.Row) record.Change {
	c := record.Change{Operator: operator}
	for _, r := range rows {
		c.Puts = append(c.Puts, record.NewPut(r, expect))
	}
	return c
}

// TestInvalidChangeHasNoEffect covers a change with one valid and one invalid row: if the valid row were applied, the
// configuration would be one that no operator asked for. The error must hold every reason, so that the operator can
// correct them all at once.
func TestInvalidChangeHasNoEffect(t *testing.T) {
	is := is.New(t)
	pool := fleet.Pool{Name: "proofs", Partner: "sibiu"}
	bad := fleet.Service{Name: "proofs", Pool: "none"}
	after, errs := New().Apply(1, newBatch("a", 1, newChange("op", 0, pool, bad)))
	var invalid *InvalidError
	is.True(errors.As(errs[0], &invalid))
	is.Equal(len(invalid.Reasons), 2) // the service has no such pool and no run limit
	is.Equal(after.Pools.Len(), 0)
	is.Equal(after.ConfigVersion(), int64(0))
}

// TestConflictNamesOperatorOfCurrentVersion covers an operator whose change is based on an outdated version. Without
// the conflict, it would overwrite the other operator's change without notice.
func TestConflictNamesOperatorOfCurrentVersion(t *testing.T) {
	is := is.New(t)
	team := fleet.Team{Name: "carvers", Partner: "sibiu", Share: 1, Limit: 4}
	tables, _ := New().Apply(1, newBatch("a", 1, newChange("ana", 0, team)))
	tables, errs := tables.Apply(2, newBatch("b", 1, newChange("bela", 1, team.WithLimit(9))))
	is.NoErr(errs[0])
	tables, errs = tables.Apply(3, newBatch("a", 2, newChange("ana", 1, team.WithLimit(5))))
	var conflict *ConflictError
	is.True(errors.As(errs[0], &conflict))
	is.Equal(*conflict, ConflictError{Row: "carvers", Expected: 1, Version: 2, ChangedBy: "bela"})
	got, _ := tables.Teams.Get("carvers")
	is.Equal(got.Limit, 9)
}

// TestExpireAfterRenewalIsRejected covers a renewal that reaches the log between a peer's decision to expire a lease
// and the expiry. If the expiry took effect, a live member would lose its seat and its units.
func TestExpireAfterRenewalIsRejected(t *testing.T) {
	is := is.New(t)
	join := record.Join{Seat: "s", Incarnation: "i", Zone: "z"}
	tables, _ := New().Apply(1, newBatch("s", 1, join))
	tables, _ = tables.Apply(2, newBatch("s", 2, record.Renew{Seat: "s", Incarnation: "i"}))
	tables, errs := tables.Apply(3, newBatch("o", 1, record.Expire{Seat: "s", Incarnation: "i", RenewalOffset: 1}))
	var conflict *ConflictError
	is.True(errors.As(errs[0], &conflict))
	tables, errs = tables.Apply(4, newBatch("o", 2, record.Expire{Seat: "s", Incarnation: "i", RenewalOffset: 2}))
	is.NoErr(errs[0])
	_, errs = tables.Apply(5, newBatch("s", 3, record.Renew{Seat: "s", Incarnation: "i"}))
	var stale *StaleIncarnationError
	is.True(errors.As(errs[0], &stale)) // an expired incarnation has to join again
}

// TestRepeatedEntriesHaveNoEffect applies a random log once in order, and once with earlier entries repeated in
// between, as retried appends and peers deliver them. If a repeat had an effect, the states of two processes would
// differ. The configuration version must never decrease.
func TestRepeatedEntriesHaveNoEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []record.Batch
		for range rapid.IntRange(1, 40).Draw(t, "appends") {
			writer := fmt.Sprintf("w%d", rapid.IntRange(0, 2).Draw(t, "writer"))
			sequence := uint64(rapid.IntRange(1, 12).Draw(t, "sequence"))
			log = append(log, newBatch(writer, sequence, randomRecord(t)))
		}
		ordered, repeating := New(), New()
		for i, b := range log {
			version := ordered.ConfigVersion()
			ordered, _ = ordered.Apply(int64(i+1), b)
			if ordered.ConfigVersion() < version {
				t.Fatalf("the configuration version decreased from %d to %d", version, ordered.ConfigVersion())
			}
			repeating, _ = repeating.Apply(int64(i+1), b)
			again := rapid.IntRange(0, i).Draw(t, "again")
			repeating, _ = repeating.Apply(int64(again+1), log[again])
		}
		if got, want := describe(repeating), describe(ordered); got != want {
			t.Fatalf("with repeated entries the state is\n%s\nwant\n%s", got, want)
		}
	})
}

func randomRecord(t *rapid.T) record.Record {
	seat := fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(t, "seat"))
	n := rapid.IntRange(0, 9).Draw(t, "n")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return record.Join{Seat: seat, Incarnation: "i", Zone: seat}
	case 1:
		return record.Leave{Seat: seat, Incarnation: "i"}
	case 2:
		return record.AcquireUnits{Seat: seat, Incarnation: "i", Team: "t", Want: n}
	case 3:
		return record.ReleaseUnits{Seat: seat, Incarnation: "i", Team: "t", Keep: n}
	case 4:
		return record.Expire{Seat: seat, Incarnation: "i", RenewalOffset: int64(n)}
	default:
		return newChange("op", int64(n), fleet.Team{Name: "t", Partner: "p", Share: 1, Limit: n})
	}
}

func describe(t Tables) string {
	return fmt.Sprintf("%d %d %+v %+v %+v", t.Offset(), t.ConfigVersion(), t.Teams.All(), t.Members(), t.Ledger("t"))
}
