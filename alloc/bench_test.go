package alloc

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReport measures one report to the allocator of a full service.
func BenchmarkReport(b *testing.B) {
	for _, size := range []struct{ seats, teams, targets int }{{8, 6, 10}, {8, 50, 10}, {24, 50, 53}, {24, 250, 53}} {
		b.Run(fmt.Sprintf("seats=%d/teams=%d/targets=%d", size.seats, size.teams, size.targets), func(b *testing.B) {
			t := New()
			l := ServiceConfig{Weights: map[string]int{}}
			for i := range size.targets {
				l.Targets = append(l.Targets, Target{Name: fmt.Sprintf("host%d", i), Slots: 8})
			}
			t.Configure(l)
			reports := make([]Report, size.seats)
			for s := range reports {
				reports[s] = Report{Seat: fmt.Sprintf("seat%d", s), Incarnation: "1"}
				for i := range size.teams {
					reports[s].Demands = append(reports[s].Demands, Demand{Team: fmt.Sprintf("team%d", i), Want: 1 + (i+s)%7})
				}
			}
			now := time.Unix(0, 0)
			for i := 0; b.Loop(); i++ {
				s := i % size.seats
				now = now.Add(time.Millisecond)
				a := t.HandleReport(reports[s], now)
				reports[s].Applied = a.Sequence
				reports[s].Uses = reports[s].Uses[:0]
				for _, c := range a.Credits {
					reports[s].Uses = append(reports[s].Uses, TargetUsage{Target: c.Target, Credit: c.Slots, Running: c.Slots})
				}
			}
		})
	}
}
