package member

import (
	"time"

	"lavenderwing.example/lavenderwing/record"
	"lavenderwing.example/lavenderwing/state"
)

// observedRenewal is the newest renewal that this process has observed of a member.
type observedRenewal struct {
	incarnation   string
	renewalOffset int64
	seenAt        time.Time
}

// ExpireRecords stores the renewals in the tables that are new to this process, and returns records that declare the leases of other processes expired. A lease expires when it was not renewed for so long that no request sent under it can still run. The time without a renewal counts from when this process first saw the last one, and starts again when a record is returned. The tables must include the end of the log as of now, so that no renewal is overlooked.
func (s *Session) ExpireRecords(t state.Tables, longestRun time.Duration, now time.Time) []record.Record {
	var records []record.Record
	place := s.placeAmongLive(t)
	for _, m := range t.Members() {
		if !m.Live {
			continue
		}
		seen, ok := s.observedRenewals[m.Seat]
		if !ok || seen.incarnation != m.Incarnation || seen.renewalOffset != m.RenewalOffset {
			seen = observedRenewal{incarnation: m.Incarnation, renewalOffset: m.RenewalOffset, seenAt: now}
			s.observedRenewals[m.Seat] = seen
		}
		if m.Seat == s.identity.Seat {
			continue
		}
		// Each other live seat that sorts before this process's seat lengthens the timeout, so that fewer processes append the same record.
		rank := place
		if m.Seat < s.identity.Seat {
			rank--
		}
		timeout := s.reclaimDelay(longestRun) + time.Duration(rank)*s.leaseDuration/renewalsPerLease
		if now.Sub(seen.seenAt) > timeout {
			seen.seenAt = now
			s.observedRenewals[m.Seat] = seen
			records = append(records, record.Expire{Seat: m.Seat, Incarnation: m.Incarnation, RenewalOffset: m.RenewalOffset})
		}
	}
	return records
}

// placeAmongLive returns how many live seats sort before this process's seat.
func (s *Session) placeAmongLive(t state.Tables) int {
	place := 0
	for _, m := range t.Members() {
		if m.Live && m.Seat < s.identity.Seat {
			place++
		}
	}
	return place
}
