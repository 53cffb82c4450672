package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/record"
	"lavenderwing.example/lavenderwing/state"
)

// TestLeaseExpiresOnlyAfterItsRequestsEnd checks that a lease is not declared expired while requests of its process may still run, because others would then get units that are in use. The bound is the lease plus the longest run and not the code's own reclaimDelay, so that an error there is noticed.
func TestLeaseExpiresOnlyAfterItsRequestsEnd(t *testing.T) {
	is := is.New(t)
	const lease, longest = 6 * time.Second, 2 * time.Second
	start := time.Unix(1_800_000_000, 0)
	tables := state.New()
	tables, _ = tables.Apply(1, record.Batch{Writer: "b", Sequence: 1, Records: []record.Record{record.Join{Seat: "b", Incarnation: "1"}}})
	session := New(Identity{Seat: "c"}, lease, "9", func() string { return "10" })
	is.Equal(len(session.ExpireRecords(tables, longest, start)), 0)
	is.Equal(len(session.ExpireRecords(tables, longest, start.Add(lease+longest))), 0) // its requests may still run
	records := session.ExpireRecords(tables, longest, start.Add(2*(lease+longest)))
	is.Equal(len(records), 1)
	expire, ok := records[0].(record.Expire)
	is.True(ok)
	is.Equal(expire.Seat, "b")
}
