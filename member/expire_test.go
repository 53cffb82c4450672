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

// TestOneProcessExpiresTheLowestSeat guards against a record that all processes append at once: when the lowest seat died, all others had the same rank.
func TestOneProcessExpiresTheLowestSeat(t *testing.T) {
	is := is.New(t)
	const lease, longest = 6 * time.Second, 2 * time.Second
	start := time.Unix(1_800_000_000, 0)
	tables := state.New()
	seats := []string{"a", "b", "c", "d"}
	for n, seat := range seats {
		tables, _ = tables.Apply(int64(n+1), record.Batch{Writer: seat, Sequence: 1, Records: []record.Record{record.Join{Seat: seat, Incarnation: "1"}}})
	}
	for dead, expected := range map[string]string{"a": "b", "d": "a", "b": "a"} {
		first := map[string]time.Duration{}
		for _, seat := range seats {
			if seat == dead {
				continue
			}
			session := New(Identity{Seat: seat}, lease, "9", func() string { return "10" })
			for after := time.Duration(0); after < time.Minute && first[seat] == 0; after += 100 * time.Millisecond {
				for _, r := range session.ExpireRecords(tables, longest, start.Add(after)) {
					if r.(record.Expire).Seat == dead {
						first[seat] = after
					}
				}
			}
		}
		for seat, after := range first {
			is.True(seat == expected || after > first[expected]) // only one process is the first
		}
	}
}
