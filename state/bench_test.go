package state

import (
	"fmt"
	"runtime"
	"testing"

	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/record"
)

// buildTables returns the tables of a fleet of the given size, built with one record per batch, and the last offset.
func buildTables(hosts, pools, teams, seats int) (Tables, int64) {
	t := New()
	offset := int64(0)
	apply := func(r record.Record) {
		offset++
		t, _ = t.Apply(offset, record.Batch{Writer: "operator", Sequence: uint64(offset), Records: []record.Record{r}})
	}
	put := func(r fleet.Row) { apply(record.Change{Puts: []record.Put{record.NewPut(r, 0)}}) }
	for i := range pools {
		put(fleet.Pool{Name: fmt.Sprintf("pool%d", i), Partner: "sibiu"})
		put(fleet.Service{Name: fmt.Sprintf("service%d", i), Pool: fmt.Sprintf("pool%d", i), RunLimitMs: 1000})
	}
	for i := range hosts {
		put(fleet.Host{Name: fmt.Sprintf("host%d", i), Pool: fmt.Sprintf("pool%d", i%pools), Zone: "z", Rack: "r", Address: "10.0.0.1:8000", Slots: 8})
	}
	for i := range teams {
		put(fleet.Team{Name: fmt.Sprintf("team%d", i), Partner: "sibiu", Share: 1, Limit: 200})
		put(fleet.KeyFromSecret(fmt.Sprintf("key%d", i), fmt.Sprintf("team%d", i), "secret"))
	}
	for i := range seats {
		apply(record.Join{Seat: fmt.Sprintf("10.0.%d.1:9000", i), Incarnation: fmt.Sprint(i), Zone: fmt.Sprintf("z%d", i%16)})
	}
	return t, offset
}

// BenchmarkTables reports the heap size of the whole state.
func BenchmarkTables(b *testing.B) {
	for _, size := range []struct{ hosts, pools, teams, seats int }{{50, 6, 6, 8}, {3100, 58, 6, 8}, {50, 6, 250, 8}, {50, 6, 250, 144}, {3100, 58, 250, 144}} {
		b.Run(fmt.Sprintf("hosts=%d/teams=%d/seats=%d", size.hosts, size.teams, size.seats), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var t Tables
			for b.Loop() {
				t, _ = buildTables(size.hosts, size.pools, size.teams, size.seats)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KiB")
			runtime.KeepAlive(t)
		})
	}
}

// BenchmarkApplyAcquireUnits measures how long it takes to apply a request for units, including their division over the seats.
func BenchmarkApplyAcquireUnits(b *testing.B) {
	for _, seats := range []int{8, 36, 144} {
		b.Run(fmt.Sprintf("seats=%d", seats), func(b *testing.B) {
			t, offset := buildTables(50, 6, 250, seats)
			for i := 0; b.Loop(); i++ {
				offset++
				seat := i % seats
				r := record.AcquireUnits{Seat: fmt.Sprintf("10.0.%d.1:9000", seat), Incarnation: fmt.Sprint(seat), Team: fmt.Sprintf("team%d", i%250), Want: i % 9}
				t, _ = t.Apply(offset, record.Batch{Writer: "w", Sequence: uint64(offset), Records: []record.Record{r}})
			}
		})
	}
}
