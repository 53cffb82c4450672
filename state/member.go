package state

import (
	"lavenderwing.example/lavenderwing/escrow"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/record"
)

func (t Tables) applyJoin(r record.Join) Tables {
	t.members = t.members.Set(r.Seat, fleet.Member{
		Seat:          r.Seat,
		Incarnation:   r.Incarnation,
		Zone:          r.Zone,
		Address:       r.Address,
		RenewalOffset: t.offset,
		Live:          true,
	})
	return t.updateAllLedgers(func(l escrow.Ledger) escrow.Ledger {
		return l.WithJoin(r.Seat, r.Zone, r.Incarnation)
	})
}

func (t Tables) applyRenew(r record.Renew) (Tables, error) {
	m, err := t.liveMember(r.Seat, r.Incarnation)
	if err != nil {
		return t, err
	}
	t.members = t.members.Set(r.Seat, m.WithRenewalOffset(t.offset))
	return t, nil
}

func (t Tables) applyLeave(r record.Leave) (Tables, error) {
	m, err := t.liveMember(r.Seat, r.Incarnation)
	if err != nil {
		return t, err
	}
	t.members = t.members.Set(r.Seat, m.WithLive(false))
	return t.updateAllLedgers(func(l escrow.Ledger) escrow.Ledger { return l.WithLeave(r.Seat) }), nil
}

func (t Tables) applyExpire(r record.Expire) (Tables, error) {
	m, err := t.liveMember(r.Seat, r.Incarnation)
	if err != nil {
		return t, err
	}
	if m.RenewalOffset != r.RenewalOffset {
		return t, &ConflictError{Row: r.Seat, Expected: r.RenewalOffset, Version: m.RenewalOffset, ChangedBy: m.Incarnation}
	}
	t.members = t.members.Set(r.Seat, m.WithLive(false))
	return t.updateAllLedgers(func(l escrow.Ledger) escrow.Ledger { return l.WithExpiredLease(r.Seat) }), nil
}

func (t Tables) applyAcquireUnits(r record.AcquireUnits) (Tables, error) {
	return t.updateLedger(r.Seat, r.Incarnation, r.Team, func(l escrow.Ledger) escrow.Ledger {
		return l.WithRequestedUnits(r.Seat, r.Want)
	})
}

func (t Tables) applyReleaseUnits(r record.ReleaseUnits) (Tables, error) {
	return t.updateLedger(r.Seat, r.Incarnation, r.Team, func(l escrow.Ledger) escrow.Ledger {
		return l.WithKeptUnits(r.Seat, r.Keep)
	})
}

// updateLedger replaces the ledger of one team on behalf of the live incarnation of a seat.
func (t Tables) updateLedger(seat, incarnation, team string, edit func(escrow.Ledger) escrow.Ledger) (Tables, error) {
	if _, err := t.liveMember(seat, incarnation); err != nil {
		return t, err
	}
	ledger, ok := t.ledgers.Get(team)
	if !ok {
		return t, &InvalidError{Reasons: []string{"no team " + team}}
	}
	t.ledgers = t.ledgers.Set(team, edit(ledger))
	return t, nil
}

// liveMember returns the member at a seat, or a *StaleIncarnationError if it is not live or is another incarnation.
func (t Tables) liveMember(seat, incarnation string) (fleet.Member, error) {
	m, ok := t.members.Get(seat)
	if !ok || m.Incarnation != incarnation || !m.Live {
		return fleet.Member{}, &StaleIncarnationError{Seat: seat, Incarnation: incarnation}
	}
	return m, nil
}

func (t Tables) updateAllLedgers(edit func(escrow.Ledger) escrow.Ledger) Tables {
	for it := t.ledgers.Iterator(); !it.Done(); {
		team, ledger, _ := it.Next()
		t.ledgers = t.ledgers.Set(team, edit(ledger))
	}
	return t
}
