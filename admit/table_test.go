package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderwing.example/lavenderwing/alloc"
)

var startTime = time.Unix(1_800_000_000, 0)

// smallTable returns a table of two services with three targets of two slots each, and three teams.
func smallTable() *Table {
	return smallTableOf(2, 3, 3, 2)
}

// smallTableOf returns a table in which this process has credit for all slots and each team may use 100 slots; team i has a share of i+1.
func smallTableOf(services, targets, teams, slots int) *Table {
	c := Config{}
	for i := range teams {
		c.Teams = append(c.Teams, TeamConfig{Name: fmt.Sprintf("t%d", i), Share: i + 1})
	}
	for s := range services {
		sc := ServiceConfig{Name: fmt.Sprintf("s%d", s), RunLimit: time.Second}
		for i := range targets {
			sc.Targets = append(sc.Targets, TargetConfig{Name: fmt.Sprintf("s%d-%d", s, i), Slots: slots})
		}
		c.Services = append(c.Services, sc)
	}
	t := New(WithSeed(1))
	t.Configure(c)
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

// startRequests starts n requests of a team at the first service.
func startRequests(is *is.I, t *Table, n int, team TeamID) []*Waiter {
	var running []*Waiter
	for range n {
		w := newWaiter(0, team, false, startTime)
		is.Equal(t.Admit(w), Started)
		running = append(running, w)
	}
	return running
}

// TestUrgentRequestsStartFirst checks that a freed slot goes to a team's urgent request and not to a normal one that arrived earlier.
func TestUrgentRequestsStartFirst(t *testing.T) {
	is := is.New(t)
	table := smallTable()
	running := startRequests(is, table, 6, 0)
	normal, urgent := newWaiter(0, 1, false, startTime), newWaiter(0, 1, true, startTime)
	is.Equal(table.Admit(normal), Queued)
	is.Equal(table.Admit(urgent), Queued)
	table.Finish(running[0])
	is.Equal(<-urgent.Decision, Started)
	is.Equal(len(normal.Decision), 0)
}

// TestFreedSlotsGoToTeamFurthestBelowQuota checks that a team that took all slots before the others had demand does not keep more than its quota once slots are freed.
func TestFreedSlotsGoToTeamFurthestBelowQuota(t *testing.T) {
	is := is.New(t)
	table := smallTable()
	running := startRequests(is, table, 6, 2)
	table.SetQuotas(0, alloc.Allocation{Quotas: []alloc.Quota{{Team: "t0", Slots: 1}, {Team: "t1", Slots: 2}, {Team: "t2", Slots: 3}}})
	waiting := map[TeamID][]*Waiter{}
	for team := range TeamID(3) {
		for range 6 {
			w := newWaiter(0, team, false, startTime)
			is.Equal(table.Admit(w), Queued)
			waiting[team] = append(waiting[team], w)
		}
	}
	for range 3 {
		table.Finish(running[0])
		running = running[1:]
	}
	is.Equal(table.flow(0, 0).running, 1)
	is.Equal(table.flow(0, 1).running, 2)
	is.Equal(table.flow(0, 2).running, 3)
}

// TestRefusals checks that a waiting request is refused at its deadline and not before, with a reason that distinguishes the lack of slots from the team's limit, and that a full queue refuses at once.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	table := smallTable()
	startRequests(is, table, 6, 0)
	late := newWaiter(0, 1, false, startTime)
	is.Equal(table.Admit(late), Queued)
	table.SetUsableSlots(2, 0)
	limited := newWaiter(0, 2, false, startTime)
	is.Equal(table.Admit(limited), Queued)
	table.Tick(startTime.Add(-time.Millisecond))
	is.Equal(len(late.Decision), 0)
	table.Tick(startTime)
	is.Equal(<-late.Decision, RefusedTimeout)
	is.Equal(<-limited.Decision, RefusedLimit)
	for range 10 {
		is.Equal(table.Admit(newWaiter(0, 1, false, startTime)), Queued)
	}
	is.Equal(table.Admit(newWaiter(0, 1, false, startTime)), RefusedQueueFull)
}

// TestEjectionKeepsMostTargets checks that failures of all targets eject at most half of them, so that a service is never left without targets. An ejected target then gets one request at a time until one succeeds.
func TestEjectionKeepsMostTargets(t *testing.T) {
	is := is.New(t)
	table := smallTable()
	for i := range TargetID(3) {
		for range 5 {
			table.RecordFailure(i, startTime)
		}
	}
	is.Equal(table.services[0].ejected, 1) // two of three would be more than half
	is.Equal(len(table.services[0].freeTargets), 2)
	table.Tick(startTime.Add(minEjection))
	is.Equal(table.services[0].ejected, 0)
	is.Equal(table.targets[0].usableSlots(), 1) // probing, so it gets one request at a time
	table.RecordSuccess(0)
	is.Equal(table.targets[0].usableSlots(), 2)
}

// TestAbandonedRequestKeepsItsSlot checks that a request without an answer counts against its team's limit until its target must have stopped it; otherwise the team would exceed its limit on the targets.
func TestAbandonedRequestKeepsItsSlot(t *testing.T) {
	is := is.New(t)
	table := smallTable()
	table.SetUsableSlots(0, 1)
	w := startRequests(is, table, 1, 0)[0]
	table.Abandon(w, startTime.Add(time.Second))
	next := newWaiter(1, 0, false, startTime.Add(time.Hour))
	is.Equal(table.Admit(next), Queued)
	table.Tick(startTime)
	is.Equal(len(next.Decision), 0)
	table.Tick(startTime.Add(time.Second))
	is.Equal(<-next.Decision, Started) // the limit holds over all services
}

// TestRetryBudget checks that, once the saved retries are used up, there are ten retries per hundred first attempts, so that retries cannot amplify an overload.
func TestRetryBudget(t *testing.T) {
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

// TestRandomHistories checks in random histories that no request starts beyond its target's credit, that the numbers of running and waiting requests are right, and that no request waits that could run. A missed dispatch after a slot or a part of a limit became free would leave requests waiting until their deadlines.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := smallTable()
		now := startTime
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
			checkInvariants(t, table, all, before)
		}
	})
}

// checkInvariants checks the table after a step; before holds each target's number of running requests before the step.
func checkInvariants(t *rapid.T, table *Table, all []*Waiter, before []int) {
	running, waiting := map[TeamID]int{}, map[TeamID]int{}
	for _, w := range all {
		switch w.state {
		case stateRunning:
			running[w.Team]++
		case stateWaiting:
			waiting[w.Team]++
			tm := table.teams[w.Team]
			if len(table.services[w.Service].freeTargets) > 0 && tm.running < tm.usableSlots {
				t.Fatalf("a request of team %d waits although a slot is free and the team is below its limit", w.Team)
			}
		}
	}
	for i, tm := range table.teams {
		if tm.running != running[TeamID(i)] || tm.waiting != waiting[TeamID(i)] {
			t.Fatalf("team %d: counted %d running and %d waiting requests, want %d and %d", i, tm.running, tm.waiting, running[TeamID(i)], waiting[TeamID(i)])
		}
	}
	for i, target := range table.targets {
		if target.running > before[i] && target.running > target.credit {
			t.Fatalf("target %d started a request beyond its credit", i)
		}
	}
}
