package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderwing.example/lavenderwing/alloc"
)

var epoch = time.Unix(1_800_000_000, 0)

// smallTable returns two services of three targets with two slots each, and three teams.
func smallTable() *Table {
	return smallTableOf(2, 3, 3, 2)
}

func smallTableOf(services, targets, teams, slots int) *Table {
	l := Config{}
	for i := range teams {
		l.Teams = append(l.Teams, TeamConfig{Name: fmt.Sprintf("t%d", i), Share: i + 1})
	}
	for s := range services {
		sl := ServiceConfig{Name: fmt.Sprintf("s%d", s), RunLimit: time.Second}
		for i := range targets {
			sl.Targets = append(sl.Targets, TargetConfig{Name: fmt.Sprintf("s%d-%d", s, i), Slots: slots})
		}
		l.Services = append(l.Services, sl)
	}
	t := New(WithSeed(1))
	t.Configure(l)
	for i := range t.targets {
		t.SetCredit(TargetID(i), slots)
	}
	for i := range t.teams {
		t.SetUsableSlots(TeamID(i), 100)
	}
	return t
}

func newWaiter(s ServiceID, team TeamID, urgent bool, deadline time.Time) *Waiter {
	return &Waiter{Service: s, Team: team, Urgent: urgent, MaxDepth: 10, Deadline: deadline, Avoid: NoTarget, Decision: make(chan Decision, 1)}
}

// start fills the table with n running requests of a team.
func start(is *is.I, t *Table, n int, team TeamID) []*Waiter {
	var running []*Waiter
	for range n {
		w := newWaiter(0, team, false, epoch)
		is.Equal(t.Admit(w), Started)
		running = append(running, w)
	}
	return running
}

func TestUrgentGoesFirst(t *testing.T) {
	is := is.New(t)
	table := smallTable()
	running := start(is, table, 6, 0)
	rest, urgent := newWaiter(0, 1, false, epoch), newWaiter(0, 1, true, epoch)
	is.Equal(table.Admit(rest), Queued)
	is.Equal(table.Admit(urgent), Queued)
	table.Finish(running[0])
	is.Equal(<-urgent.Decision, Started)
	is.Equal(len(rest.Decision), 0)
}

func TestSlotsGoToTheTeamFurthestBelowItsPart(t *testing.T) {
	is := is.New(t)
	table := smallTable()
	running := start(is, table, 6, 2)
	table.SetQuotas(0, alloc.Allocation{Quotas: []alloc.Quota{{Team: "t0", Slots: 1}, {Team: "t1", Slots: 2}, {Team: "t2", Slots: 3}}})
	waiting := map[TeamID][]*Waiter{}
	for team := range TeamID(3) {
		for range 6 {
			w := newWaiter(0, team, false, epoch)
			is.Equal(table.Admit(w), Queued)
			waiting[team] = append(waiting[team], w)
		}
	}
	for range 3 {
		table.Finish(running[0])
		running = running[1:]
	}
	is.Equal(table.lane(0, 0).running, 1)
	is.Equal(table.lane(0, 1).running, 2)
	is.Equal(table.lane(0, 2).running, 3)
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	table := smallTable()
	start(is, table, 6, 0)
	late := newWaiter(0, 1, false, epoch)
	is.Equal(table.Admit(late), Queued)
	table.SetUsableSlots(2, 0)
	limited := newWaiter(0, 2, false, epoch)
	is.Equal(table.Admit(limited), Queued)
	table.Tick(epoch.Add(-time.Millisecond))
	is.Equal(len(late.Decision), 0)
	table.Tick(epoch)
	is.Equal(<-late.Decision, RefusedTimeout)
	is.Equal(<-limited.Decision, RefusedLimit)
	for range 10 {
		is.Equal(table.Admit(newWaiter(0, 1, false, epoch)), Queued)
	}
	is.Equal(table.Admit(newWaiter(0, 1, false, epoch)), RefusedQueueFull)
}

func TestEjectionNeverEmptiesAService(t *testing.T) {
	is := is.New(t)
	table := smallTable()
	for i := range TargetID(3) {
		for range 5 {
			table.RecordFailure(i, epoch)
		}
	}
	is.Equal(table.services[0].ejected, 1) // one of three is less than half, two are more
	is.Equal(len(table.services[0].free), 2)
	table.Tick(epoch.Add(ejectBase))
	is.Equal(table.services[0].ejected, 0)
	is.Equal(table.targets[0].allowed(), 1) // it has to prove itself with one request
	table.RecordSuccess(0)
	is.Equal(table.targets[0].allowed(), 2)
}

func TestLingeringRequestKeepsItsUnit(t *testing.T) {
	is := is.New(t)
	table := smallTable()
	table.SetUsableSlots(0, 1)
	w := start(is, table, 1, 0)[0]
	table.Abandon(w, epoch.Add(time.Second))
	next := newWaiter(1, 0, false, epoch.Add(time.Hour))
	is.Equal(table.Admit(next), Queued)
	table.Tick(epoch)
	is.Equal(len(next.Decision), 0)
	table.Tick(epoch.Add(time.Second))
	is.Equal(<-next.Decision, Started) // at another service, because the limit is the team's
}

func TestRetriesAreAPartOfFirstTries(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(10)
	for b.TakeRetry() {
	}
	retries := 0
	for range 1000 {
		b.RecordFirstAttempt()
		if b.TakeRetry() {
			retries++
		}
	}
	is.Equal(retries, 100)
}

// TestAdmission checks over random histories that no team exceeds its units and no target its credit at a start, and that nothing that could run waits.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := smallTable()
		now := epoch
		var all []*Waiter
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s := ServiceID(rapid.IntRange(0, 1).Draw(t, "service"))
			team := TeamID(rapid.IntRange(0, 2).Draw(t, "team"))
			var before []int
			for i := range table.targets {
				before = append(before, table.targets[i].running)
			}
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1, 2:
				w := newWaiter(s, team, rapid.Bool().Draw(t, "urgent"), now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "wait"))*time.Second))
				table.Admit(w)
				all = append(all, w)
			case 3, 4:
				if len(all) > 0 {
					w := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
					if w.state == stateWaiting {
						table.Cancel(w)
					} else {
						table.Finish(w)
					}
				}
			case 5:
				table.SetUsableSlots(team, rapid.IntRange(0, 6).Draw(t, "usable"))
				table.SetCredit(TargetID(rapid.IntRange(0, 5).Draw(t, "target")), rapid.IntRange(0, 2).Draw(t, "credit"))
			case 6:
				now = now.Add(time.Second)
			}
			table.Tick(now)
			check(t, table, all, before)
		}
	})
}

func check(t *rapid.T, table *Table, all []*Waiter, before []int) {
	running, waiting := map[TeamID]int{}, map[TeamID]int{}
	for _, w := range all {
		switch w.state {
		case stateRunning:
			running[w.Team]++
		case stateWaiting:
			waiting[w.Team]++
			tm := table.teams[w.Team]
			if len(table.services[w.Service].free) > 0 && tm.running < tm.usable {
				t.Fatalf("a request of team %d waits although it could run", w.Team)
			}
		}
	}
	for i, tm := range table.teams {
		if tm.running != running[TeamID(i)] || tm.waiting != waiting[TeamID(i)] {
			t.Fatalf("team %d counts %d running and %d waiting, has %d and %d", i, tm.running, tm.waiting, running[TeamID(i)], waiting[TeamID(i)])
		}
	}
	for i, target := range table.targets {
		if target.running > before[i] && target.running > target.credit {
			t.Fatalf("target %d started beyond its credit", i)
		}
	}
}
