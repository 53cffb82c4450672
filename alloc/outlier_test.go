package alloc

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// failingTargets lets three seats report until each has slots, and then two of them that targets failed.
func failingTargets(targets ...string) (*Allocator, []*process, time.Time) {
	table := New()
	table.Configure(testLayout())
	now := time.Unix(0, 0)
	procs := []*process{}
	for _, name := range []string{"p0", "p1", "p2"} {
		procs = append(procs, &process{name: name, credits: map[string]int{}, running: map[string]int{}, want: 100, ejections: map[string]int{}})
	}
	now = reportAll(table, procs, now, 100)
	for _, p := range procs[:2] {
		for _, target := range targets {
			p.ejections[target]++
		}
	}
	return table, procs, reportAll(table, procs, now, 5)
}

func reportAll(table *Allocator, procs []*process, now time.Time, rounds int) time.Time {
	for range rounds {
		now = now.Add(20 * time.Millisecond)
		for _, p := range procs {
			p.apply(table.HandleReport(p.report(), now))
		}
	}
	return now
}

func creditsAt(procs []*process, target string) int {
	sum := 0
	for _, p := range procs {
		sum += p.credits[target]
	}
	return sum
}

func TestTwoSeatsEjectATargetForAll(t *testing.T) {
	is := is.New(t)
	table, procs, now := failingTargets("h0")
	is.Equal(creditsAt(procs, "h0"), 0)
	is.Equal(creditsAt(procs, "h1"), 8)
	now = reportAll(table, procs, now, int(ejectBase/(20*time.Millisecond)))
	is.Equal(creditsAt(procs, "h0"), 1) // it has to prove itself first
	reportAll(table, procs, now, int((probation+time.Second)/(20*time.Millisecond)))
	is.Equal(creditsAt(procs, "h0"), 8)
}

func TestOneReportOnProbationEjectsForLonger(t *testing.T) {
	is := is.New(t)
	table, procs, now := failingTargets("h0")
	now = reportAll(table, procs, now, int(ejectBase/(20*time.Millisecond)))
	procs[2].ejections["h0"]++
	now = reportAll(table, procs, now, 15)
	is.Equal(creditsAt(procs, "h0"), 0)
	now = reportAll(table, procs, now, int(ejectBase/(20*time.Millisecond)))
	is.Equal(creditsAt(procs, "h0"), 0)
	reportAll(table, procs, now, int((ejectBase+time.Second)/(20*time.Millisecond)))
	is.Equal(creditsAt(procs, "h0"), 1)
}

func TestOneSeatAloneEjectsNothing(t *testing.T) {
	is := is.New(t)
	table, procs, now := failingTargets()
	procs[0].ejections["h0"] = 9
	reportAll(table, procs, now, 20)
	is.Equal(creditsAt(procs, "h0"), 8)
}

func TestHalfOfTheTargetsAreKept(t *testing.T) {
	is := is.New(t)
	_, procs, _ := failingTargets("h0", "h1", "h2", "h3")
	is.Equal(creditsAt(procs, "h0")+creditsAt(procs, "h1")+creditsAt(procs, "h2")+creditsAt(procs, "h3"), 16)
}
