package admit

import (
	"fmt"
	"testing"
	"time"
)

// newFleet returns a table of a fleet in which every team may use every service.
func newFleet(services, teams, targets int) *Table {
	l := Config{}
	for i := range teams {
		l.Teams = append(l.Teams, TeamConfig{Name: fmt.Sprintf("team%d", i), Share: 1 + i%5})
	}
	for s := range services {
		sl := ServiceConfig{Name: fmt.Sprintf("service%d", s), RunLimit: time.Second}
		for i := s; i < targets; i += services {
			sl.Targets = append(sl.Targets, TargetConfig{Name: fmt.Sprintf("host%d", i), Slots: 8})
		}
		l.Services = append(l.Services, sl)
	}
	t := New(WithSeed(1))
	t.Configure(l)
	for i := range t.targets {
		t.SetCredit(TargetID(i), 8)
	}
	for i := range t.teams {
		t.SetUsableSlots(TeamID(i), 1<<20)
	}
	return t
}

// BenchmarkDecision measures an arrival and its end with free slots.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ services, teams, targets int }{{5, 6, 50}, {58, 6, 50}, {5, 250, 50}, {5, 6, 3100}, {58, 250, 3100}} {
		b.Run(fmt.Sprintf("services=%d/teams=%d/targets=%d", size.services, size.teams, size.targets), func(b *testing.B) {
			t := newFleet(size.services, size.teams, size.targets)
			w := &Waiter{Avoid: NoTarget, MaxDepth: 1}
			for s := range size.services {
				for i := range size.teams {
					t.lane(ServiceID(s), TeamID(i))
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

// BenchmarkFullDecision measures the end of a request in a full service where every team waits, with the start of the next.
func BenchmarkFullDecision(b *testing.B) {
	for _, teams := range []int{6, 50, 250} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			t := newFleet(1, teams, 53)
			running := make([]*Waiter, 0, 53*8)
			wake := make(chan Decision, 1)
			for i := 0; len(running) < 53*8; i++ {
				w := &Waiter{Team: TeamID(i % teams), Avoid: NoTarget, MaxDepth: 1, Decision: wake}
				t.Admit(w)
				running = append(running, w)
			}
			waiting := make([]*Waiter, teams)
			for i := range teams {
				waiting[i] = &Waiter{Team: TeamID(i), Avoid: NoTarget, MaxDepth: 1, Decision: wake}
				t.Admit(waiting[i])
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				w := running[i%len(running)]
				t.Finish(w)
				<-wake
				for j := range waiting {
					if waiting[j].state == stateRunning {
						running[i%len(running)] = waiting[j]
						*w = Waiter{Team: TeamID(j), Avoid: NoTarget, MaxDepth: 1, Decision: wake}
						waiting[j] = w
						t.Admit(w)
						break
					}
				}
			}
		})
	}
}
