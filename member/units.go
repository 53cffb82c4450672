package member

import (
	"time"

	"lavenderwing.example/lavenderwing/escrow"
	"lavenderwing.example/lavenderwing/record"
	"lavenderwing.example/lavenderwing/state"
)

// idleRetention is how long units are kept after the demand for them has fallen.
const idleRetention = time.Second

// noReturnPending is the value of teamUnits.pendingKeep while no return of units is pending.
const noReturnPending = -1

// teamUnits is the state of this process's units of one team's limit.
type teamUnits struct {
	revision    int64
	incarnation string
	holding     escrow.Holding
	// cap is the ledger's FairCap for this process's seat.
	cap int
	// pendingKeep is the number of units that remain usable while a return of units is pending.
	pendingKeep int
	// requestPending is true while a request for units is pending.
	requestPending bool
	// peakDemand is the highest recent demand.
	peakDemand int
	peakAt     time.Time
}

func (s *Session) unitsOf(team string) *teamUnits {
	u := s.teams[team]
	if u == nil {
		u = &teamUnits{revision: -1, pendingKeep: noReturnPending}
		s.teams[team] = u
	}
	return u
}

// UsableSlots returns how many slots a team may occupy through this process now.
func (s *Session) UsableSlots(t state.Tables, team string, longestRun time.Duration, now time.Time) int {
	u := s.unitsOf(team)
	s.refresh(t, team, u)
	usable := u.holding.Floor
	if s.LeaseValid(now) {
		usable += u.holding.Elastic
	}
	if s.inQuarantine(longestRun, now) {
		usable -= u.holding.Inherited
	}
	usable = min(usable, u.cap)
	if u.pendingKeep != noReturnPending {
		usable = min(usable, u.pendingKeep)
	}
	return max(usable, 0)
}

// HeldUnits returns the units of a team's limit that the process holds, as of the last call of UsableSlots.
func (s *Session) HeldUnits(team string) int { return s.unitsOf(team).holding.Units() }

// UnitRecords returns the records that request missing units and return unneeded ones.
func (s *Session) UnitRecords(team string, running, waiting int, longestRun time.Duration, now time.Time) []record.Record {
	u := s.unitsOf(team)
	u.observeDemand(running+waiting, now)
	if !s.LeaseValid(now) || u.holding.Incarnation != s.incarnation {
		return nil
	}
	var records []record.Record
	if r, ok := s.requestRecord(team, u); ok {
		records = append(records, r)
	}
	if s.inQuarantine(longestRun, now) {
		// Units that an earlier incarnation may still use must not be returned.
		running += u.holding.Inherited
	}
	if r, ok := s.returnRecord(team, u, running); ok {
		records = append(records, r)
	}
	return records
}

// UnitRecordDone marks a request or return of units as no longer pending, because its result is known or it was not submitted.
func (s *Session) UnitRecordDone(r record.Record) {
	switch r := r.(type) {
	case record.AcquireUnits:
		s.unitsOf(r.Team).requestPending = false
	case record.ReleaseUnits:
		s.unitsOf(r.Team).pendingKeep = noReturnPending
	}
}

// refresh updates the holding and the fair cap if the ledger or the incarnation has changed.
func (s *Session) refresh(t state.Tables, team string, u *teamUnits) {
	ledger := t.Ledger(team)
	if ledger.Revision() == u.revision && u.incarnation == s.incarnation {
		return
	}
	u.revision = ledger.Revision()
	u.incarnation = s.incarnation
	u.holding = ledger.Holding(s.identity.Seat)
	u.cap = ledger.FairCap(s.identity.Seat)
	if u.holding.Incarnation != s.incarnation {
		u.holding = escrow.Holding{}
		u.cap = 0
	}
}

// observeDemand raises the peak at once, and lowers it only after idleRetention.
func (u *teamUnits) observeDemand(demand int, now time.Time) {
	if demand >= u.peakDemand || now.Sub(u.peakAt) > idleRetention {
		u.peakDemand = demand
		u.peakAt = now
	}
}

func (s *Session) requestRecord(team string, u *teamUnits) (record.AcquireUnits, bool) {
	if u.requestPending || u.peakDemand == u.holding.Want {
		return record.AcquireUnits{}, false
	}
	// A lower demand is not recorded while the floor covers it, because it frees no units for others.
	if u.peakDemand < u.holding.Want && u.holding.Want <= u.holding.Floor {
		return record.AcquireUnits{}, false
	}
	u.requestPending = true
	return record.AcquireUnits{Seat: s.identity.Seat, Incarnation: s.incarnation, Team: team, Want: u.peakDemand}, true
}

func (s *Session) returnRecord(team string, u *teamUnits, running int) (record.ReleaseUnits, bool) {
	// Units are returned if other entry processes lack units, or if recent demand did not need them.
	keep := max(running, u.cap)
	if u.cap >= u.holding.Units() {
		keep = max(running, u.peakDemand, u.holding.Floor)
	}
	if u.pendingKeep != noReturnPending || keep >= u.holding.Units() {
		return record.ReleaseUnits{}, false
	}
	u.pendingKeep = keep
	return record.ReleaseUnits{Seat: s.identity.Seat, Incarnation: s.incarnation, Team: team, Keep: keep}, true
}
