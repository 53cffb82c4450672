package member

import (
	"time"

	"lavenderwing.example/lavenderwing/escrow"
	"lavenderwing.example/lavenderwing/record"
	"lavenderwing.example/lavenderwing/state"
)

// idleRetention is how long units are kept after the demand was last high enough to need them.
const idleRetention = time.Second

// noReleasePending is the value of teamUnits.pendingKeep while no release of units is pending.
const noReleasePending = -1

// teamUnits is the state of this process's units of one team's limit.
type teamUnits struct {
	revision    int64
	incarnation string
	holding     escrow.Holding
	// cap is the ledger's FairCap for this process's seat: it is less than the held units while other seats lack units.
	cap int
	// pendingKeep is the number of units that remain usable while a release of the others is pending.
	pendingKeep int
	// acquirePending is true while an AcquireUnits record is pending.
	acquirePending bool
	// peakDemand is the highest demand of about the last idleRetention, seen at peakAt.
	peakDemand int
	peakAt     time.Time
}

// unitsOf returns the state of a team's units, which it creates on first use.
func (s *Session) unitsOf(team string) *teamUnits {
	u := s.teams[team]
	if u == nil {
		u = &teamUnits{revision: -1, pendingKeep: noReleasePending}
		s.teams[team] = u
	}
	return u
}

// UsableSlots returns how many slots a team may occupy through this process now. It first updates the process's holding from the tables, which HeldUnits and UnitRecords then use.
func (s *Session) UsableSlots(t state.Tables, team string, longestRun time.Duration, now time.Time) int {
	u := s.unitsOf(team)
	s.refresh(t, team, u)
	usable := u.holding.Floor
	if s.LeaseValid(now) {
		usable += u.holding.Elastic
	}
	if s.inheritedMayBeInUse(longestRun, now) {
		usable -= u.holding.Inherited
	}
	usable = min(usable, u.cap)
	if u.pendingKeep != noReleasePending {
		usable = min(usable, u.pendingKeep)
	}
	return max(usable, 0)
}

// HeldUnits returns the units of a team's limit that the process holds, as of the last call of UsableSlots.
func (s *Session) HeldUnits(team string) int { return s.unitsOf(team).holding.Units() }

// UnitRecords returns the records that acquire missing units and release unneeded ones, and marks them as pending.
func (s *Session) UnitRecords(team string, running, waiting int, longestRun time.Duration, now time.Time) []record.Record {
	u := s.unitsOf(team)
	u.observeDemand(running+waiting, now)
	if !s.LeaseValid(now) || u.holding.Incarnation != s.incarnation {
		return nil
	}
	var records []record.Record
	if r, ok := s.acquireRecord(team, u); ok {
		records = append(records, r)
	}
	if s.inheritedMayBeInUse(longestRun, now) {
		// Units that requests of an earlier incarnation may still use must not be released, so these units count as running.
		running += u.holding.Inherited
	}
	if r, ok := s.releaseRecord(team, u, running); ok {
		records = append(records, r)
	}
	return records
}

// UnitRecordDone marks an acquire or release of units as no longer pending, because its result is known or it was not submitted.
func (s *Session) UnitRecordDone(r record.Record) {
	switch r := r.(type) {
	case record.AcquireUnits:
		s.unitsOf(r.Team).acquirePending = false
	case record.ReleaseUnits:
		s.unitsOf(r.Team).pendingKeep = noReleasePending
	}
}

// refresh updates the holding and the fair cap if the ledger or the incarnation has changed. Both are empty if another incarnation has the seat.
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

// observeDemand raises the peak at once, and lowers it only if the demand has stayed below it for idleRetention.
func (u *teamUnits) observeDemand(demand int, now time.Time) {
	if demand >= u.peakDemand || now.Sub(u.peakAt) > idleRetention {
		u.peakDemand = demand
		u.peakAt = now
	}
}

// acquireRecord returns the record that changes the wanted units to the peak demand, and false if none is needed.
func (s *Session) acquireRecord(team string, u *teamUnits) (record.AcquireUnits, bool) {
	if u.acquirePending || u.peakDemand == u.holding.Want {
		return record.AcquireUnits{}, false
	}
	// A decrease is not recorded if the floor covered the higher demand already, because the record would free no units for other processes.
	if u.peakDemand < u.holding.Want && u.holding.Want <= u.holding.Floor {
		return record.AcquireUnits{}, false
	}
	u.acquirePending = true
	return record.AcquireUnits{Seat: s.identity.Seat, Incarnation: s.incarnation, Team: team, Want: u.peakDemand}, true
}

// releaseRecord returns the record that releases unneeded units, and false if there are none. Units of running requests are never released.
func (s *Session) releaseRecord(team string, u *teamUnits, running int) (record.ReleaseUnits, bool) {
	// If the cap is below the held units, other processes lack units, and all units beyond the cap are released. Otherwise units beyond the floor are released if the recent demand did not need them.
	keep := max(running, u.cap)
	if u.cap >= u.holding.Units() {
		keep = max(running, u.peakDemand, u.holding.Floor)
	}
	if u.pendingKeep != noReleasePending || keep >= u.holding.Units() {
		return record.ReleaseUnits{}, false
	}
	u.pendingKeep = keep
	return record.ReleaseUnits{Seat: s.identity.Seat, Incarnation: s.incarnation, Team: team, Keep: keep}, true
}
