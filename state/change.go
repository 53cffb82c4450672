package state

import (
	"fmt"

	"lavenderwing.example/lavenderwing/escrow"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/record"
)

// applyChange applies all puts of a change, or none of them when one is invalid or outdated.
func (t Tables) applyChange(c record.Change) (Tables, error) {
	next := t
	var reasons []string
	for i, put := range c.Puts {
		row := put.Row()
		if row == nil {
			reasons = append(reasons, fmt.Sprintf("put %d does not hold exactly one row", i))
			continue
		}
		for _, problem := range append(row.Problems(), next.missingReferences(row)...) {
			reasons = append(reasons, fmt.Sprintf("%T %q: %s", row, row.ID(), problem))
		}
		var err error
		next, err = next.applyPut(row, put.ExpectedVersion, c.Operator)
		if err != nil {
			return t, err
		}
	}
	if len(reasons) > 0 {
		return t, &InvalidError{Reasons: reasons}
	}
	next.configVersion = next.offset
	return next, nil
}

func (t Tables) applyPut(row fleet.Row, expected int64, operator string) (Tables, error) {
	var err error
	switch r := row.(type) {
	case fleet.Team:
		t.Teams, err = t.Teams.put(r, expected, t.offset, operator)
		if err == nil {
			t = t.withTeamLimit(r)
		}
	case fleet.Key:
		t.Keys, err = t.Keys.put(r, expected, t.offset, operator)
	case fleet.Queue:
		t.Queues, err = t.Queues.put(r, expected, t.offset, operator)
	case fleet.Service:
		t.Services, err = t.Services.put(r, expected, t.offset, operator)
	case fleet.Pool:
		t.Pools, err = t.Pools.put(r, expected, t.offset, operator)
	case fleet.Host:
		t.Hosts, err = t.Hosts.put(r, expected, t.offset, operator)
	}
	return t, err
}

// missingReferences describes each row that the given row refers to but that does not exist.
func (t Tables) missingReferences(row fleet.Row) []string {
	var problems []string
	require := func(kind, name string, found bool) {
		if !found {
			problems = append(problems, fmt.Sprintf("no %s %q", kind, name))
		}
	}
	switch r := row.(type) {
	case fleet.Key:
		_, ok := t.Teams.Get(r.Team)
		require("team", r.Team, ok)
	case fleet.Queue:
		_, ok := t.Services.Get(r.Service)
		require("service", r.Service, ok)
	case fleet.Service:
		_, ok := t.Pools.Get(r.Pool)
		require("pool", r.Pool, ok)
	case fleet.Host:
		_, ok := t.Pools.Get(r.Pool)
		require("pool", r.Pool, ok)
	}
	return problems
}

// withTeamLimit sets the limit of the team's ledger, and creates the ledger with all live seats if there is none.
func (t Tables) withTeamLimit(team fleet.Team) Tables {
	ledger, ok := t.ledgers.Get(team.Name)
	if !ok {
		ledger = escrow.New(team.Limit)
		for _, m := range t.Members() {
			if m.Live {
				ledger = ledger.WithJoin(m.Seat, m.Zone, m.Incarnation)
			}
		}
	}
	t.ledgers = t.ledgers.Set(team.Name, ledger.WithLimit(team.Limit))
	return t
}
