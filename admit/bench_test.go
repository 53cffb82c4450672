package admit

import (
	"fmt"
	"testing"
	"time"
)

// newBenchTable returns a table in which every target has credit for all its slots and no team is held back by its limit.
func newBenchTable(services, teams, targets int) *Table {
	c := Config{}
	for i := range teams {
		c.Teams = append(c.Teams, TeamConfig{Name: fmt.Sprintf("team%d", i), Share: 1 + i%5})
	}
	for s := range services {
		sc := ServiceConfig{Name: fmt.Sprintf("service%d", s), RunLimit: time.Second}
		for i := s; i < targets; i += services {
			sc.Targets = append(sc.Targets, TargetConfig{Name: fmt.Sprintf("host%d", i), Slots: 8})
		}
		c.Services = append(c.Services, sc)
	}
	t := New(WithSeed(1))
	t.Configure(c)
	for i := range t.targets {
		t.SetCredit(TargetID(i), 8)
	}
	for i := range t.teams {
		t.SetUsableSlots(TeamID(i), 1<<20)
	}
	return t
}

// BenchmarkDecision measures the arrival and the end of a request while slots are free.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ services, teams, targets int }{{5, 6, 50}, {58, 6, 50}, {5, 250, 50}, {5, 6, 3100}, {58, 250, 3100}} {
		b.Run(fmt.Sprintf("services=%d/teams=%d/targets=%d", size.services, size.teams, size.targets), func(b *testing.B) {
			t := newBenchTable(size.services, size.teams, size.targets)
			w := &Waiter{Avoid: NoTarget, MaxDepth: 1}
			for s := range size.services {
				for i := range size.teams {
					t.flow(ServiceID(s), TeamID(i))
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				*w = Waiter{Service: ServiceID(i % size.services), Team: TeamID(i % size.teams), Avoid: NoTarget, MaxDepth: 1}
				t.Admit(w)
				t.Finish(w)
			}
		})
	}
}

// BenchmarkFullDecision measures the end of a request, which starts the next one, at a service without free slots where every team has a waiting request.
func BenchmarkFullDecision(b *testing.B) {
	for _, teams := range []int{6, 50, 250} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			t := newBenchTable(1, teams, 53)
			running := make([]*Waiter, 0, 53*8)
			decisions := make(chan Decision, 1)
			for i := 0; len(running) < 53*8; i++ {
				w := &Waiter{Team: TeamID(i % teams), Avoid: NoTarget, MaxDepth: 1, Decision: decisions}
				t.Admit(w)
				running = append(running, w)
			}
			waiting := make([]*Waiter, teams)
			for i := range teams {
				waiting[i] = &Waiter{Team: TeamID(i), Avoid: NoTarget, MaxDepth: 1, Decision: decisions}
				t.Admit(waiting[i])
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				w := running[i%len(running)]
				t.Finish(w)
				<-decisions
				for j := range waiting {
					if waiting[j].state == stateRunning {
						running[i%len(running)] = waiting[j]
						*w = Waiter{Team: TeamID(j), Avoid: NoTarget, MaxDepth: 1, Decision: decisions}
						waiting[j] = w
						t.Admit(w)
						break
					}
				}
			}
		})
	}
}
