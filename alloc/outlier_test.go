package alloc

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// reportFailures lets three processes report until each has slots, and then two of them report an ejection of each given target.
func reportFailures(targets ...string) (*Allocator, []*simProcess, time.Time) {
	allocator := New()
	allocator.Configure(testConfig())
	now := time.Unix(0, 0)
	procs := []*simProcess{}
	for _, name := range []string{"p0", "p1", "p2"} {
		procs = append(procs, &simProcess{name: name, credits: map[string]int{}, running: map[string]int{}, want: 100, ejections: map[string]int{}})
	}
	now = reportRounds(allocator, procs, now, 100)
	for _, p := range procs[:2] {
		for _, target := range targets {
			p.ejections[target]++
		}
	}
	return allocator, procs, reportRounds(allocator, procs, now, 5)
}

// reportRounds lets each process report once in each round; a round takes 20 ms.
func reportRounds(allocator *Allocator, procs []*simProcess, now time.Time, rounds int) time.Time {
	for range rounds {
		now = now.Add(20 * time.Millisecond)
		for _, p := range procs {
			p.apply(allocator.HandleReport(p.report(), now))
		}
	}
	return now
}

// totalCredits returns the number of a target's slots that all processes together may use.
func totalCredits(procs []*simProcess, target string) int {
	sum := 0
	for _, p := range procs {
		sum += p.credits[target]
	}
	return sum
}

// TestTwoReportersEjectTargetForAll checks that a target that two processes report as failing is taken from the third one as well, and gets its slots back after the probation.
func TestTwoReportersEjectTargetForAll(t *testing.T) {
	is := is.New(t)
	allocator, procs, now := reportFailures("h0")
	is.Equal(totalCredits(procs, "h0"), 0)
	is.Equal(totalCredits(procs, "h1"), 8)
	now = reportRounds(allocator, procs, now, int(ejectBaseTime/(20*time.Millisecond)))
	is.Equal(totalCredits(procs, "h0"), 1) // one slot during probation
	reportRounds(allocator, procs, now, int((probationTime+time.Second)/(20*time.Millisecond)))
	is.Equal(totalCredits(procs, "h0"), 8)
}

// TestOneReportDuringProbationEjectsForLonger checks that a target that fails again right after its ejection is ejected by one report, for twice the time.
func TestOneReportDuringProbationEjectsForLonger(t *testing.T) {
	is := is.New(t)
	allocator, procs, now := reportFailures("h0")
	now = reportRounds(allocator, procs, now, int(ejectBaseTime/(20*time.Millisecond)))
	procs[2].ejections["h0"]++
	now = reportRounds(allocator, procs, now, 15)
	is.Equal(totalCredits(procs, "h0"), 0)
	now = reportRounds(allocator, procs, now, int(ejectBaseTime/(20*time.Millisecond)))
	is.Equal(totalCredits(procs, "h0"), 0)
	reportRounds(allocator, procs, now, int((ejectBaseTime+time.Second)/(20*time.Millisecond)))
	is.Equal(totalCredits(procs, "h0"), 1)
}

// TestManyEjectionsStayLong guards against a target that is never ejected again: the doubled time overflowed after 32 ejections and became 0.
func TestManyEjectionsStayLong(t *testing.T) {
	is := is.New(t)
	o, now := &outlier{}, time.Unix(1000, 0)
	for range 100 {
		o.eject(now)
		is.True(o.ejectedUntil.After(now))
		now = o.probationUntil
	}
	is.Equal(o.probationUntil.Sub(o.ejectedUntil), probationTime)
	o.eject(now)
	is.Equal(o.ejectedUntil.Sub(now), ejectMaxTime)
}

// TestSingleReporterEjectsNothing checks that the reports of one process alone never eject a target for all, because the fault may be on the side of that process.
func TestSingleReporterEjectsNothing(t *testing.T) {
	is := is.New(t)
	allocator, procs, now := reportFailures()
	procs[0].ejections["h0"] = 9
	reportRounds(allocator, procs, now, 20)
	is.Equal(totalCredits(procs, "h0"), 8)
}

// TestHalfOfTargetsStayAvailable checks that only two of four targets are ejected although two processes report all as failing, so that a wrong report cannot take all targets away.
func TestHalfOfTargetsStayAvailable(t *testing.T) {
	is := is.New(t)
	_, procs, _ := reportFailures("h0", "h1", "h2", "h3")
	is.Equal(totalCredits(procs, "h0")+totalCredits(procs, "h1")+totalCredits(procs, "h2")+totalCredits(procs, "h3"), 16)
}
