package fold

import (
	"lavenderwing.example/lavenderwing/escrow"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/record"
)

func (t Tables) join(r record.Join) Tables {
	t.members = t.members.Set(r.Seat, fleet.Member{
		Seat:        r.Seat,
		Incarnation: r.Incarnation,
		Zone:        r.Zone,
		Address:     r.Address,
		Renewed:     t.offset,
		Live:        true,
	})
	return t.eachLedger(func(l escrow.Ledger) escrow.Ledger {
		return l.WithJoin(r.Seat, r.Zone, r.Incarnation)
	})
}

func (t Tables) renew(r record.Renew) (Tables, error) {
	m, err := t.holder(r.Seat, r.Incarnation)
	if err != nil {
		return t, err
	}
	t.members = t.members.Set(r.Seat, m.WithRenewed(t.offset))
	return t, nil
}

func (t Tables) leave(r record.Leave) (Tables, error) {
	m, err := t.holder(r.Seat, r.Incarnation)
	if err != nil {
		return t, err
	}
	t.members = t.members.Set(r.Seat, m.WithLive(false))
	return t.eachLedger(func(l escrow.Ledger) escrow.Ledger { return l.WithLeave(r.Seat) }), nil
}

func (t Tables) expire(r record.Expire) (Tables, error) {
	m, err := t.holder(r.Seat, r.Incarnation)
	if err != nil {
		return t, err
	}
	if m.Renewed != r.Basis {
		return t, &StaleError{Row: r.Seat, Expect: r.Basis, Version: m.Renewed, Winner: m.Incarnation}
	}
	t.members = t.members.Set(r.Seat, m.WithLive(false))
	return t.eachLedger(func(l escrow.Ledger) escrow.Ledger { return l.WithExpiredLease(r.Seat) }), nil
}

func (t Tables) ask(r record.Ask) (Tables, error) {
	return t.hold(r.Seat, r.Incarnation, r.Team, func(l escrow.Ledger) escrow.Ledger {
		return l.WithRequestedUnits(r.Seat, r.Want)
	})
}

func (t Tables) give(r record.Give) (Tables, error) {
	return t.hold(r.Seat, r.Incarnation, r.Team, func(l escrow.Ledger) escrow.Ledger {
		return l.WithKeptUnits(r.Seat, r.Keep)
	})
}

// hold changes one team's ledger for the incarnation that holds the seat.
func (t Tables) hold(seat, incarnation, team string, edit func(escrow.Ledger) escrow.Ledger) (Tables, error) {
	if _, err := t.holder(seat, incarnation); err != nil {
		return t, err
	}
	ledger, ok := t.ledgers.Get(team)
	if !ok {
		return t, &InvalidError{Reasons: []string{"no team " + team}}
	}
	t.ledgers = t.ledgers.Set(team, edit(ledger))
	return t, nil
}

// holder returns the live member, and a *MemberError when the incarnation does not hold the seat.
func (t Tables) holder(seat, incarnation string) (fleet.Member, error) {
	m, ok := t.members.Get(seat)
	if !ok || m.Incarnation != incarnation || !m.Live {
		return fleet.Member{}, &MemberError{Seat: seat, Incarnation: incarnation}
	}
	return m, nil
}

func (t Tables) eachLedger(edit func(escrow.Ledger) escrow.Ledger) Tables {
	for it := t.ledgers.Iterator(); !it.Done(); {
		team, ledger, _ := it.Next()
		t.ledgers = t.ledgers.Set(team, edit(ledger))
	}
	return t
}
