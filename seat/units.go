package seat

import (
	"time"

	"lavenderwing.example/lavenderwing/escrow"
	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/record"
)

// idleKeep is how long units are kept after the demand for them has gone.
const idleKeep = time.Second

// nothingGiven means that no return of units is under way.
const nothingGiven = -1

// units is what this process knows and plans of its units of one team's limit.
type units struct {
	revision    int64
	incarnation string
	hold        escrow.Holding
	cap         int
	// keep bounds the use while a return of units is under way.
	keep int
	// asking is true while an ask is under way.
	asking bool
	// peak is the highest demand of the recent past.
	peak   int
	peakAt time.Time
}

func (k *Session) of(team string) *units {
	u := k.units[team]
	if u == nil {
		u = &units{revision: -1, keep: nothingGiven}
		k.units[team] = u
	}
	return u
}

// UsableSlots returns how many slots a team may occupy now through this process.
func (k *Session) UsableSlots(t fold.Tables, team string, longestRun time.Duration, now time.Time) int {
	u := k.of(team)
	k.refresh(t, team, u)
	usable := u.hold.Floor
	if k.LeaseValid(now) {
		usable += u.hold.Elastic
	}
	if k.quarantined(longestRun, now) {
		usable -= u.hold.Inherited
	}
	usable = min(usable, u.cap)
	if u.keep != nothingGiven {
		usable = min(usable, u.keep)
	}
	return max(usable, 0)
}

// HeldUnits returns the units that the seat holds of a team's limit, as of the last Usable.
func (k *Session) HeldUnits(team string) int { return k.of(team).hold.Units() }

// UnitRecords returns the records that ask for units that are lacking and return those that are not needed.
func (k *Session) UnitRecords(team string, running, waiting int, longestRun time.Duration, now time.Time) []record.Record {
	u := k.of(team)
	u.observe(running+waiting, now)
	if !k.LeaseValid(now) || u.hold.Incarnation != k.incarnation {
		return nil
	}
	var plan []record.Record
	if r, ok := k.ask(team, u); ok {
		plan = append(plan, r)
	}
	if k.quarantined(longestRun, now) {
		// Units that an earlier incarnation may be using must not go to others.
		running += u.hold.Inherited
	}
	if r, ok := k.give(team, u, running); ok {
		plan = append(plan, r)
	}
	return plan
}

// UnitRecordDone ends an ask or a return whose verdict is known or that was never submitted.
func (k *Session) UnitRecordDone(r record.Record) {
	switch r := r.(type) {
	case record.AcquireUnits:
		k.of(r.Team).asking = false
	case record.ReleaseUnits:
		k.of(r.Team).keep = nothingGiven
	}
}

func (k *Session) refresh(t fold.Tables, team string, u *units) {
	ledger := t.Ledger(team)
	if ledger.Revision() == u.revision && u.incarnation == k.incarnation {
		return
	}
	u.revision = ledger.Revision()
	u.incarnation = k.incarnation
	u.hold = ledger.Holding(k.place.Seat)
	u.cap = ledger.FairCap(k.place.Seat)
	if u.hold.Incarnation != k.incarnation {
		u.hold = escrow.Holding{}
		u.cap = 0
	}
}

// observe follows rising demand at once and falling demand after a while.
func (u *units) observe(demand int, now time.Time) {
	if demand >= u.peak || now.Sub(u.peakAt) > idleKeep {
		u.peak = demand
		u.peakAt = now
	}
}

func (k *Session) ask(team string, u *units) (record.AcquireUnits, bool) {
	if u.asking || u.peak == u.hold.Want {
		return record.AcquireUnits{}, false
	}
	// A fall that frees nothing for others is not worth a record.
	if u.peak < u.hold.Want && u.hold.Want <= u.hold.Floor {
		return record.AcquireUnits{}, false
	}
	u.asking = true
	return record.AcquireUnits{Seat: k.place.Seat, Incarnation: k.incarnation, Team: team, Want: u.peak}, true
}

func (k *Session) give(team string, u *units, running int) (record.ReleaseUnits, bool) {
	// Other seats lack units, or the recent demand did not need these.
	keep := max(running, u.cap)
	if u.cap >= u.hold.Units() {
		keep = max(running, u.peak, u.hold.Floor)
	}
	if u.keep != nothingGiven || keep >= u.hold.Units() {
		return record.ReleaseUnits{}, false
	}
	u.keep = keep
	return record.ReleaseUnits{Seat: k.place.Seat, Incarnation: k.incarnation, Team: team, Keep: keep}, true
}
