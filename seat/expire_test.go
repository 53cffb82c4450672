package seat

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/record"
)

// TestALeaseIsDeclaredExpiredOnlyWhenItsWorkIsOver holds the bound to the lease, the longest run and the drift of clocks, not to the code's own sum.
func TestALeaseIsDeclaredExpiredOnlyWhenItsWorkIsOver(t *testing.T) {
	is := is.New(t)
	const length, longest = 6 * time.Second, 2 * time.Second
	began := time.Unix(1_800_000_000, 0)
	tables := fold.New()
	tables, _ = tables.Apply(1, record.Batch{Writer: "b", Sequence: 1, Records: []record.Record{record.Join{Seat: "b", Incarnation: "1"}}})
	k := New(Identity{Seat: "c"}, length, "9", func() string { return "10" })
	is.Equal(len(k.ExpireRecords(tables, longest, began)), 0)
	is.Equal(len(k.ExpireRecords(tables, longest, began.Add(length+longest))), 0) // its work may still run
	due := k.ExpireRecords(tables, longest, began.Add(2*(length+longest)))
	is.Equal(len(due), 1)
	expire, ok := due[0].(record.Expire)
	is.True(ok)
	is.Equal(expire.Seat, "b")
}
