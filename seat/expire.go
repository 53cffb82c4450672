package seat

import (
	"time"

	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/record"
)

// watched is the newest renewal that this process has seen of another.
type watched struct {
	incarnation string
	renewed     int64
	since       time.Time
}

// ExpireRecords returns the records that declare leases expired which were not renewed for longer than any of their work can run; the tables must be the log's end as of now.
func (k *Session) ExpireRecords(t fold.Tables, longestRun time.Duration, now time.Time) []record.Record {
	var due []record.Record
	rank := 0
	for _, m := range t.Members() {
		if !m.Live {
			continue
		}
		seen, ok := k.watch[m.Seat]
		if !ok || seen.incarnation != m.Incarnation || seen.renewed != m.RenewalOffset {
			seen = watched{incarnation: m.Incarnation, renewed: m.RenewalOffset, since: now}
			k.watch[m.Seat] = seen
		}
		if m.Seat == k.place.Seat {
			continue
		}
		// Lower seats go first, so that one process usually appends for all.
		patience := k.reclaimAfter(longestRun) + time.Duration(rank)*k.length/renewals
		if now.Sub(seen.since) > patience {
			seen.since = now
			k.watch[m.Seat] = seen
			due = append(due, record.Expire{Seat: m.Seat, Incarnation: m.Incarnation, RenewalOffset: m.RenewalOffset})
		}
		if m.Seat < k.place.Seat {
			rank++
		}
	}
	return due
}
