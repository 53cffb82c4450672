package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/shed"
	"lavenderwing.example/lavenderwing/work"
)

// fullPool returns a table with one host of one core, on which items of a second run, and the given number of waiting jobs of team a.
func fullPool(is *is.I, waiting int, features work.Features) (*Table, time.Duration) {
	now := time.Second
	t := New(testBounds(), WithToken(1, 0), WithFeatures(features))
	t.Configure(&work.Config{
		Version: 1, Pools: []work.Pool{{Name: "p"}}, Queues: []work.Queue{{Name: "q", Pool: "p", MaxAttempts: 3, SlackFactor: 2, FixedSlackMs: 1000}},
		Teams: []work.Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}},
	})
	capacity := work.Resources{CPU: 1000, MemMB: 1000}
	t.UpsertTarget(work.Target{ID: "t", Pool: "p", Address: "t", Capacity: capacity}, now)
	t.ApplyHostList([]work.Host{{Name: "h", Pool: "p", State: work.HostUp, Capacity: capacity, Target: "t"}}, now, now)
	t.RenewalAnswered("t", work.RenewalReply{ClockMs: 1000}, 0, now, now)
	for range 2 * warmUpRuns {
		t.ensureRunStats("q").observe(time.Second, 1000)
	}
	for n := range waiting {
		is.True(t.Accept(secondJob(n+1, "a"), now))
	}
	t.Plan(now)
	t.hostsPlannedAt, t.teamLoadsMeasuredAt = 0, 0
	t.Plan(now)
	t.TakeEvents()
	return t, now
}

// secondJob is a job of one item that uses a core for a second.
func secondJob(n int, team string) *work.Job {
	return &work.Job{ID: work.JobID(fmt.Sprintf("%016x", n)), Queue: "q", Team: team, Steps: []work.Step{{Count: 1, Demand: work.Resources{CPU: 1000, MemMB: 1}, EstimateMs: 1000}}}
}

// TestRefusalIsCertainAndSpread guards against refusals of jobs that come in time or of teams within their share, against refused callers who all return at once, and against refusals that operators do not see. A job of a second has an objective of 3 s and is of use for 9 s, so that it may wait for 8 s.
func TestRefusalIsCertainAndSpread(t *testing.T) {
	is := is.New(t)
	table, now := fullPool(is, 8, work.Features{})
	is.True(!table.Admit(secondJob(100, "a"), now).Refused) // 7 wait and one runs, which is no wait

	table, now = fullPool(is, 12, work.Features{})
	first, second := table.Admit(secondJob(100, "a"), now), table.Admit(secondJob(101, "a"), now)
	is.Equal([]bool{first.Refused, second.Refused}, []bool{true, true})
	is.Equal(first.Reason, shed.ReasonTeam)
	is.True((first.RetryAfter - 3*time.Second).Abs() < expectationError)  // 11 s of work are ahead, 8 s may be
	is.True((second.RetryAfter - 4*time.Second).Abs() < expectationError) // a second later, at the rate of the room
	is.Equal(table.countKind("refusedLoad"), 2)
	is.True(!table.Admit(secondJob(102, "b"), now).Refused) // within its share
	is.True(!table.Admit(secondJob(1, "a"), now).Refused)   // accepted before
}

// expectationError is by how much times may be off, because expected run times come from logarithms and are cut to milliseconds.
const expectationError = 20 * time.Millisecond

// countKind counts the events of a kind that have not been taken.
func (t *Table) countKind(kind string) int {
	n := 0
	for _, e := range t.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// TestSheddingTurnedOffAdmitsAsBefore guards against an admission that changes although operators have turned the part off: the whole backlog counts for every team, and the return time is the excess.
func TestSheddingTurnedOffAdmitsAsBefore(t *testing.T) {
	is := is.New(t)
	// The pool wants four hosts, and what it wants counts as present.
	table, now := fullPool(is, 45, work.Features{}.WithDisabled(work.Shedding))
	for _, team := range []string{"a", "b"} {
		a := table.Admit(secondJob(100, team), now)
		is.True(a.Refused)
		is.Equal(a.Reason, shed.Reason(""))
		is.Equal(a.RetryAfter, max(a.ExpectedWait-a.MaxWait, minRetryAfter))
		is.True((a.ExpectedWait - 11*time.Second).Abs() < expectationError) // 44 s of work on four hosts
	}
	is.Equal(table.countKind("refusedLoad"), 0)
}

// TestReturningCallerGoesBeforeLaterOnes guards against a caller that returns as it was told to and is ordered after those who came in between.
func TestReturningCallerGoesBeforeLaterOnes(t *testing.T) {
	is := is.New(t)
	table, now := fullPool(is, 12, work.Features{})
	is.True(table.Admit(secondJob(100, "a"), now).Refused)
	is.True(table.Accept(secondJob(101, "b"), now+time.Second))
	is.True(table.Accept(secondJob(100, "a"), now+2*time.Second))
	for _, c := range table.candidates(now + 2*time.Second) {
		if id := c.step.job.record.ID; id >= secondJob(100, "").ID {
			is.Equal(id, secondJob(100, "").ID)
			return
		}
	}
	is.Fail() // none of the two waits
}
