package alloc

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simProcess is an entry process that reports over a network that loses and delays replies.
type simProcess struct {
	name    string
	applied uint64
	number  uint64
	credits map[string]int
	running map[string]int
	want    int
	delayed []Allocation
	// ejections counts the ejections that the process reports by target.
	ejections map[string]int
}

func (p *simProcess) report() Report {
	p.number++
	r := Report{Service: "s", Seat: p.name, Incarnation: "1", Number: p.number, Applied: p.applied, Demands: []Demand{{Team: p.name, Want: p.want}}}
	for target := range 4 {
		name := fmt.Sprintf("h%d", target)
		r.Uses = append(r.Uses, TargetUsage{Target: name, Credit: p.credits[name], Running: p.running[name], Ejections: p.ejections[name]})
	}
	return r
}

func (p *simProcess) apply(a Allocation) {
	if a.Same || a.Unknown || a.Sequence <= p.applied {
		return
	}
	p.applied = a.Sequence
	p.credits = map[string]int{}
	for _, c := range a.Credits {
		p.credits[c.Target] = c.Slots
	}
}

func testConfig() ServiceConfig {
	config := ServiceConfig{Weights: map[string]int{"p0": 1, "p1": 2, "p2": 3}}
	for i := range 4 {
		config.Targets = append(config.Targets, Target{Name: fmt.Sprintf("h%d", i), Slots: 8})
	}
	return config
}

// TestNoTargetIsOvercommitted checks that the slots which all processes may use never exceed a target's slots, while demand changes and replies are lost, delayed and reordered. A process that missed the reply which lowers its credit still uses the earlier one, so its slots must not go to others before it confirms the lower credit.
func TestNoTargetIsOvercommitted(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, seed))
		allocator := New()
		allocator.Configure(testConfig())
		now := time.Unix(0, 0)
		procs := make([]*simProcess, 3)
		for i := range procs {
			procs[i] = &simProcess{name: fmt.Sprintf("p%d", i), credits: map[string]int{}, running: map[string]int{}}
		}
		for range 2000 {
			now = now.Add(10 * time.Millisecond)
			p := procs[random.IntN(len(procs))]
			if random.IntN(5) == 0 {
				p.want = random.IntN(40)
			}
			for target, credit := range p.credits {
				// A running request keeps its slot until it ends, even if the credit shrinks.
				p.running[target] = max(random.IntN(credit+1), p.running[target]-random.IntN(2))
			}
			a := allocator.HandleReport(p.report(), now)
			switch random.IntN(4) {
			case 0:
				p.delayed = append(p.delayed, a)
			case 1:
			default:
				p.apply(a)
			}
			if len(p.delayed) > 0 && random.IntN(3) == 0 {
				p.apply(p.delayed[0])
				p.delayed = p.delayed[1:]
			}
			for target := range 4 {
				name := fmt.Sprintf("h%d", target)
				used := 0
				for _, p := range procs {
					used += max(p.credits[name], p.running[name])
				}
				if used > 8 {
					t.Fatalf("seed %d: processes may use %d slots of %s, which has 8", seed, used, name)
				}
			}
		}
	}
}

// TestSlotsFollowWeightsAndDemand checks that three processes, each with the demand of one team beyond the capacity, get all slots in proportion to the teams' weights.
func TestSlotsFollowWeightsAndDemand(t *testing.T) {
	is := is.New(t)
	allocator := New()
	allocator.Configure(testConfig())
	now := time.Unix(0, 0)
	var procs []*simProcess
	for i := range 3 {
		procs = append(procs, &simProcess{name: fmt.Sprintf("p%d", i), credits: map[string]int{}, running: map[string]int{}, want: 100})
	}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		for _, p := range procs {
			p.apply(allocator.HandleReport(p.report(), now))
		}
	}
	is.Equal(sumSlots(procs[0].credits), 5) // 32 slots by weights 1, 2 and 3
	is.Equal(sumSlots(procs[1].credits), 11)
	is.Equal(sumSlots(procs[2].credits), 16)
	is.Equal(sumSlots(procs[0].credits)+sumSlots(procs[1].credits)+sumSlots(procs[2].credits), 32)
}

// TestPausedAllocatorWarmsUpAgain checks that an allocator without reports for longer than ReportTimeout grants no slots at first. While it was paused, another process may have acted as the allocator, so its own records of the granted slots are outdated.
func TestPausedAllocatorWarmsUpAgain(t *testing.T) {
	is := is.New(t)
	allocator := New()
	allocator.Configure(testConfig())
	p := &simProcess{name: "p0", credits: map[string]int{}, running: map[string]int{}, want: 100}
	now := time.Unix(0, 0)
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		p.apply(allocator.HandleReport(p.report(), now))
	}
	is.Equal(sumSlots(p.credits), 32)
	now = now.Add(time.Minute)
	other := &simProcess{name: "p1", credits: map[string]int{}, running: map[string]int{}, want: 100}
	other.apply(allocator.HandleReport(other.report(), now))
	is.Equal(sumSlots(other.credits), 0) // another allocator may have allocated the slots in the meantime
}

// TestOutOfOrderReportIsIgnored checks that a report that arrives after a newer one does not replace the newer demand.
func TestOutOfOrderReportIsIgnored(t *testing.T) {
	is := is.New(t)
	allocator := New()
	allocator.Configure(testConfig())
	now := time.Unix(0, 0)
	p := &simProcess{name: "p0", credits: map[string]int{}, running: map[string]int{}, want: 9}
	old := p.report()
	p.want = 0
	allocator.HandleReport(p.report(), now)
	allocator.HandleReport(old, now)
	is.Equal(allocator.processes["p0"].demands["p0"], 0)
}
