package alloc

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// process is a seat that reports over a network that loses and delays answers.
type process struct {
	name    string
	applied uint64
	number  uint64
	credits map[string]int
	running map[string]int
	want    int
	late    []Allocation
	// ejections counts, by target, how often the seat found it failing.
	ejections map[string]int
}

func (p *process) report() Report {
	p.number++
	r := Report{Service: "s", Seat: p.name, Incarnation: "1", Number: p.number, Applied: p.applied, Demands: []Demand{{Team: p.name, Want: p.want}}}
	for target := range 4 {
		name := fmt.Sprintf("h%d", target)
		r.Uses = append(r.Uses, TargetUsage{Target: name, Credit: p.credits[name], Running: p.running[name], Ejections: p.ejections[name]})
	}
	return r
}

func (p *process) apply(a Allocation) {
	if a.Same || a.Unknown || a.Sequence <= p.applied {
		return
	}
	p.applied = a.Sequence
	p.credits = map[string]int{}
	for _, c := range a.Credits {
		p.credits[c.Target] = c.Slots
	}
}

func testLayout() ServiceConfig {
	l := ServiceConfig{Weights: map[string]int{"p0": 1, "p1": 2, "p2": 3}}
	for i := range 4 {
		l.Targets = append(l.Targets, Target{Name: fmt.Sprintf("h%d", i), Slots: 8})
	}
	return l
}

// TestNoTargetIsOverrun lets seats' demands change while answers are lost, late and out of order; what seats may use together never exceeds a target's slots.
func TestNoTargetIsOverrun(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, seed))
		table := New()
		table.Configure(testLayout())
		now := time.Unix(0, 0)
		procs := make([]*process, 3)
		for i := range procs {
			procs[i] = &process{name: fmt.Sprintf("p%d", i), credits: map[string]int{}, running: map[string]int{}}
		}
		for range 2000 {
			now = now.Add(10 * time.Millisecond)
			p := procs[random.IntN(len(procs))]
			if random.IntN(5) == 0 {
				p.want = random.IntN(40)
			}
			for target, credit := range p.credits {
				// A running request stays until it ends, whatever the credit.
				p.running[target] = max(random.IntN(credit+1), p.running[target]-random.IntN(2))
			}
			a := table.HandleReport(p.report(), now)
			switch random.IntN(4) {
			case 0:
				p.late = append(p.late, a)
			case 1:
			default:
				p.apply(a)
			}
			if len(p.late) > 0 && random.IntN(3) == 0 {
				p.apply(p.late[0])
				p.late = p.late[1:]
			}
			for target := range 4 {
				name := fmt.Sprintf("h%d", target)
				used := 0
				for _, p := range procs {
					used += max(p.credits[name], p.running[name])
				}
				if used > 8 {
					t.Fatalf("seed %d: %d of 8 slots of %s may be used", seed, used, name)
				}
			}
		}
	}
}

func TestSlotsFollowWeightsAndDemand(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Configure(testLayout())
	now := time.Unix(0, 0)
	var procs []*process
	for i := range 3 {
		procs = append(procs, &process{name: fmt.Sprintf("p%d", i), credits: map[string]int{}, running: map[string]int{}, want: 100})
	}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		for _, p := range procs {
			p.apply(table.HandleReport(p.report(), now))
		}
	}
	is.Equal(total(procs[0].credits), 5) // 32 slots by weights 1, 2 and 3
	is.Equal(total(procs[1].credits), 11)
	is.Equal(total(procs[2].credits), 16)
	is.Equal(total(procs[0].credits)+total(procs[1].credits)+total(procs[2].credits), 32)
}

func TestAnAllocatorThatWasPausedWarmsUpAgain(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Configure(testLayout())
	p := &process{name: "p0", credits: map[string]int{}, running: map[string]int{}, want: 100}
	now := time.Unix(0, 0)
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		p.apply(table.HandleReport(p.report(), now))
	}
	is.Equal(total(p.credits), 32)
	now = now.Add(time.Minute)
	other := &process{name: "p1", credits: map[string]int{}, running: map[string]int{}, want: 100}
	other.apply(table.HandleReport(other.report(), now))
	is.Equal(total(other.credits), 0) // another allocator may have given the slots away meanwhile
}

func TestOvertakenReportIsNoNews(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Configure(testLayout())
	now := time.Unix(0, 0)
	p := &process{name: "p0", credits: map[string]int{}, running: map[string]int{}, want: 9}
	old := p.report()
	p.want = 0
	table.HandleReport(p.report(), now)
	table.HandleReport(old, now)
	is.Equal(table.seats["p0"].demands["p0"], 0)
}
