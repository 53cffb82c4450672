package member

import (
	"errors"
	"time"

	"lavenderwing.example/lavenderwing/record"
	"lavenderwing.example/lavenderwing/state"
)

// maxClockDriftPercent is the largest difference between the rates of two clocks.
const maxClockDriftPercent = 1

// reclaimMargin is the margin in reclaimDelay beyond the duration of a lease and the longest run.
const reclaimMargin = time.Second

// renewalsPerLease is the number of renewals within the duration of a lease.
const renewalsPerLease = 3

// Identity holds an entry process's seat, availability zone and address.
type Identity struct {
	Seat    string
	Zone    string
	Address string
}

// Session holds an entry process's lease and its units of the teams' limits; it is not safe for concurrent use.
type Session struct {
	identity       Identity
	leaseDuration  time.Duration
	incarnation    string
	newIncarnation func() string

	// joinSubmittedAt is when the last join was submitted, or zero.
	joinSubmittedAt time.Time
	validUntil      time.Time
	nextRenewal     time.Time
	renewalPending  bool
	// observedRenewals holds the newest renewal that was observed of each member, by seat; it includes this process.
	observedRenewals map[string]observedRenewal
	teams            map[string]*teamUnits
}

// New returns the session of a process that has not joined; newIncarnation returns the incarnation for each later join.
func New(identity Identity, leaseDuration time.Duration, incarnation string, newIncarnation func() string) *Session {
	return &Session{
		identity:         identity,
		leaseDuration:    leaseDuration,
		incarnation:      incarnation,
		newIncarnation:   newIncarnation,
		observedRenewals: map[string]observedRenewal{},
		teams:            map[string]*teamUnits{},
	}
}

// Incarnation returns the incarnation that holds the seat or will join with it.
func (s *Session) Incarnation() string { return s.incarnation }

// LeaseValid reports whether the lease is valid at the given time.
func (s *Session) LeaseValid(now time.Time) bool { return now.Before(s.validUntil) }

// LeaseRecord returns the join or renewal that is due and marks it as pending, or returns nil if none is due. For a join, it also ends the lease, sets joinSubmittedAt and, if the process has joined before, takes a new incarnation.
func (s *Session) LeaseRecord(t state.Tables, now time.Time) record.Record {
	if s.renewalPending || now.Before(s.nextRenewal) {
		return nil
	}
	s.renewalPending = true
	m, ok := t.Member(s.identity.Seat)
	if ok && m.Live && m.Incarnation == s.incarnation {
		return record.Renew{Seat: s.identity.Seat, Incarnation: s.incarnation}
	}
	if !s.joinSubmittedAt.IsZero() {
		s.incarnation = s.newIncarnation()
	}
	s.joinSubmittedAt = now
	s.validUntil = time.Time{}
	return record.Join{Seat: s.identity.Seat, Incarnation: s.incarnation, Zone: s.identity.Zone, Address: s.identity.Address}
}

// LeaseRecordDone handles the result of a join or renewal that was submitted at the given time. The lease starts at that time, because the log may have appended the record at any time since. If the incarnation is no longer the live one of its seat, the lease ends and a join is due at once.
func (s *Session) LeaseRecordDone(sent time.Time, err error) {
	s.renewalPending = false
	s.nextRenewal = sent.Add(s.leaseDuration / renewalsPerLease)
	if err == nil {
		s.validUntil = sent.Add(s.leaseDuration - s.leaseDuration*maxClockDriftPercent/100)
		return
	}
	var staleErr *state.StaleIncarnationError
	if errors.As(err, &staleErr) {
		s.validUntil = time.Time{}
		s.nextRenewal = time.Time{}
	}
}

// LeaveRecord returns the record that ends the incarnation, or nil while an earlier incarnation may still use units that the record would free.
func (s *Session) LeaveRecord(longestRun time.Duration, now time.Time) record.Record {
	if s.inheritedMayBeInUse(longestRun, now) && s.hasInheritedUnits() {
		return nil
	}
	return record.Leave{Seat: s.identity.Seat, Incarnation: s.incarnation}
}

// hasInheritedUnits reports whether the process holds units that an earlier incarnation of its seat held.
func (s *Session) hasInheritedUnits() bool {
	for _, u := range s.teams {
		if u.holding.Inherited > 0 {
			return true
		}
	}
	return false
}

// reclaimDelay returns the time after the last renewal of a lease by which all requests that were sent under the lease have ended. Only then may other processes get its units.
func (s *Session) reclaimDelay(longestRun time.Duration) time.Duration {
	delay := s.leaseDuration + longestRun + reclaimMargin
	return delay + delay*maxClockDriftPercent/100
}

// inheritedMayBeInUse reports whether requests of an earlier incarnation may still use the inherited units, because this incarnation joined less than reclaimDelay ago.
func (s *Session) inheritedMayBeInUse(longestRun time.Duration, now time.Time) bool {
	return now.Before(s.joinSubmittedAt.Add(s.reclaimDelay(longestRun)))
}
