package seat

import (
	"time"

	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/record"
)

// observedRenewal is the newest renewal that this process has observed of a member.
type observedRenewal struct {
	incarnation string
	renewed     int64
	seenAt      time.Time
}

// ExpireRecords returns the records that declare leases expired which were not renewed for longer than any of their requests can run; the tables must include the end of the log as of now.
func (s *Session) ExpireRecords(t fold.Tables, longestRun time.Duration, now time.Time) []record.Record {
	var records []record.Record
	rank := 0
	for _, m := range t.Members() {
		if !m.Live {
			continue
		}
		seen, ok := s.renewals[m.Seat]
		if !ok || seen.incarnation != m.Incarnation || seen.renewed != m.Renewed {
			seen = observedRenewal{incarnation: m.Incarnation, renewed: m.Renewed, seenAt: now}
			s.renewals[m.Seat] = seen
		}
		if m.Seat == s.identity.Seat {
			continue
		}
		// The timeout grows with each live seat sorted before both this process's and the other one, so that few processes append the same record.
		timeout := s.reclaimDelay(longestRun) + time.Duration(rank)*s.leaseLength/renewalsPerLease
		if now.Sub(seen.seenAt) > timeout {
			seen.seenAt = now
			s.renewals[m.Seat] = seen
			records = append(records, record.Expire{Seat: m.Seat, Incarnation: m.Incarnation, Basis: m.Renewed})
		}
		if m.Seat < s.identity.Seat {
			rank++
		}
	}
	return records
}
