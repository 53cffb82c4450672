package shed

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAdmit guards against refusals of jobs that the order of service would still complete, and against the acceptance of jobs that it cannot.
func TestAdmit(t *testing.T) {
	room := Room{Now: 1000}
	job := func(team string, priority int, slack, useful, rank time.Duration, work float64) Demand {
		return Demand{Team: team, Priority: priority, Slack: slack, UsefulSlack: useful, Rank: rank, Work: work}
	}
	const s = time.Second
	arrives := job("a", 1, 2*s, 10*s, 2*s, 500)
	for _, tc := range []struct {
		name    string
		room    Room
		job     Demand
		waiting []Demand
		reason  Reason
	}{
		{"an empty pool accepts a job that is larger than its room", room, job("a", 1, 2*s, 10*s, 2*s, 1e9), nil, ""},
		{"work of lower priority is not ahead", room, arrives, []Demand{job("a", 2, 0, 5*s, 0, 1e6)}, ""},
		{"work of higher priority is ahead", room, arrives, []Demand{job("a", 0, 0, 5*s, 9*s, 10_500)}, ReasonPriority},
		{"work with a later rank is not ahead", room, arrives, []Demand{job("a", 1, 0, 5*s, 3*s, 1e6)}, ""},
		{"work that is too late is not ahead", room, arrives, []Demand{job("a", 1, -9*s, -1*s, -9*s, 1e6), job("a", 0, -9*s, -1*s, -9*s, 1e6)}, ""},
		{"the team's own earlier work is ahead", room, arrives, []Demand{job("a", 1, 0, 5*s, 0, 10_500)}, ReasonTeam},
		{"the same work fits when hosts are coming", Room{Now: 1000, Coming: 1000, Lead: 2 * s}, arrives, []Demand{job("a", 1, 0, 5*s, 0, 10_500)}, ""},
		{"another team's backlog is ahead up to its share only", room, arrives, []Demand{job("b", 1, 0, 5*s, 0, 1e6)}, ""},
		{"shares of other teams and a little own work fit", room, arrives, []Demand{job("b", 1, 0, 5*s, 0, 1e6), job("a", 1, 0, 5*s, 0, 4900)}, ""},
		{"shares of other teams and own work beyond the share do not", room, arrives, []Demand{job("b", 1, 0, 5*s, 0, 1e6), job("a", 1, 0, 5*s, 0, 5100)}, ReasonTeam},
		{"a pool without room accepts a job of a team that waits for nothing", Room{}, arrives, []Demand{job("b", 1, 0, 5*s, 0, 1)}, ""},
		{"a pool without room refuses a job behind its team's", Room{}, arrives, []Demand{job("a", 1, 0, 5*s, 0, 1)}, ReasonTeam},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			v := Admit(&tc.job, tc.waiting, tc.room)
			is.Equal(v.Reason, tc.reason)
			is.Equal(v.Refused, tc.reason != "")
		})
	}
}

// TestArrangeServesMost guards against an order that completes fewer jobs in time than another one could: on one lane, where the best is known by trying all subsets, the number of jobs in time of one team has to be the highest possible.
func TestArrangeServesMost(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewSource(1))
	for range 300 {
		demands := make([]Demand, 1+r.Intn(8))
		for i := range demands {
			work := float64(1 + r.Intn(9))
			slack := time.Duration(r.Intn(20)) * time.Second
			demands[i] = Demand{Team: "a", Work: work, Before: work, Slack: slack, UsefulSlack: 2 * slack, Rank: slack}
		}
		got := 0
		for _, c := range Arrange(demands, Room{Now: 1}) {
			if c == InTime {
				got++
			}
		}
		is.Equal(got, mostInTime(demands))
	}
}

// mostInTime tries all subsets of the demands in the order of their slack.
func mostInTime(demands []Demand) int {
	best := 0
	for set := range 1 << len(demands) {
		n, sum, fits := 0, 0.0, true
		for slack := range 20 {
			for i := range demands {
				if set>>i&1 == 1 && demands[i].Slack == time.Duration(slack)*time.Second {
					n++
					sum += demands[i].Work
					fits = fits && sum <= float64(slack)
				}
			}
		}
		if fits {
			best = max(best, n)
		}
	}
	return best
}

// TestArrangeKeepsShares guards against a team within its share whose wide jobs give way to the many narrow ones of another team: the team with the most accepted work gives way first.
func TestArrangeKeepsShares(t *testing.T) {
	is := is.New(t)
	demands := []Demand{{Team: "wide", Work: 4, Before: 4, Slack: 10 * time.Second, UsefulSlack: 20 * time.Second, Rank: 9 * time.Second}}
	for n := range 20 {
		demands = append(demands, Demand{Team: "narrow", Work: 1, Before: 1, Slack: 10 * time.Second, UsefulSlack: 20 * time.Second, Rank: time.Duration(n) * time.Millisecond})
	}
	classes := Arrange(demands, Room{Now: 1})
	is.Equal(classes[0], InTime)
	narrow := 0
	for _, c := range classes[1:] {
		if c == InTime {
			narrow++
		}
	}
	is.Equal(narrow, 6)
}

// TestArrangeByPriority guards against work of low priority that is taken to be in time behind the whole backlog of a higher one, and against a higher one that gives way to a lower.
func TestArrangeByPriority(t *testing.T) {
	is := is.New(t)
	const s = time.Second
	classes := Arrange([]Demand{
		{Team: "a", Priority: 1, Work: 1, Before: 1, Slack: 5 * s, UsefulSlack: 20 * s, Rank: 0},
		{Team: "a", Priority: 0, Work: 10, Before: 10, Slack: 5 * s, UsefulSlack: 12 * s, Rank: 5 * s},
		{Team: "a", Priority: 0, Work: 1, Before: 1, Slack: -9 * s, UsefulSlack: -s, Rank: -9 * s},
	}, Room{Now: 1})
	is.Equal(classes, []Class{Late, Late, Useless})
}

// TestCallersReturnInTheOrderOfTheirRefusals guards against refused callers that all return at once, and against one that returns and is refused in favor of later ones.
func TestCallersReturnInTheOrderOfTheirRefusals(t *testing.T) {
	is := is.New(t)
	var r Returns
	var last time.Duration
	room := Room{Now: 1000}
	for n := range 50 {
		var after time.Duration
		r, after = r.Next(time.Minute, 2*time.Second, 100, room)
		is.True(after >= MinReturn && after <= MaxReturn)
		is.Equal(after, 2*time.Second+time.Duration(n)*100*time.Millisecond) // each after the one before, at the rate of the room
		is.True(after > last)
		last = after
	}
	_, after := Returns{}.Next(time.Minute, time.Hour, 100, room)
	is.Equal(after, MaxReturn)
	_, after = r.Next(2*time.Minute, 0, 100, room)
	is.Equal(after, MinReturn) // the times of earlier callers are over
}

// TestMemory guards against a returning caller that counts as new, and against a memory that grows without bound.
func TestMemory(t *testing.T) {
	is := is.New(t)
	var m Memory
	is.Equal(m.Waited("a", time.Minute), time.Duration(0))
	m.Refused("a", time.Minute)
	m.Refused("a", time.Minute+time.Second)
	is.Equal(m.Waited("a", time.Minute+3*time.Second), 3*time.Second)
	for n := range 2 * maxRemembered {
		m.Refused(fmt.Sprint(n), time.Minute+time.Second)
	}
	is.Equal(len(m.first), maxRemembered)
	m.Refused("b", 2*time.Minute)
	is.Equal(len(m.first), 1) // the rest is forgotten
}
