package evict

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/work"
)

func cpu(amount int64) work.Resources { return work.Resources{CPU: amount} }

// batchRun is a run of low priority that may be stopped.
func batchRun(id int, amount int64, unsaved float64) Run {
	return Run{ID: id, Reservation: cpu(amount), Remaining: time.Minute, Priority: 1, Stoppable: true, Unsaved: unsaved}
}

// TestChoose guards against stops that are not needed, help nobody or cost more than others that would do.
func TestChoose(t *testing.T) {
	const s = time.Second
	need := Need{Reservation: cpu(2), Count: 1, Priority: 0, Slack: 2 * s}
	late := batchRun(1, 2, 0)
	late.JobLate = true
	ending := batchRun(1, 2, 0)
	ending.Remaining = s
	kept := batchRun(1, 2, 0)
	kept.Stoppable = false
	urgent := batchRun(1, 2, 0)
	urgent.Priority = 0
	two, soon, pair := need, need, need
	two.Count, soon.Slack, pair.Count = 2, s/2, 3
	for _, tc := range []struct {
		name    string
		needs   []Need
		targets []Target
		want    []int
	}{
		{"one stop for one item", []Need{need}, []Target{{Runs: []Run{batchRun(1, 2, 5), batchRun(2, 2, 3)}}}, []int{2}},
		{"the least work is lost over all targets", []Need{need}, []Target{{Runs: []Run{batchRun(1, 2, 5)}}, {Runs: []Run{batchRun(2, 2, 3)}}}, []int{2}},
		{"free room needs no stop", []Need{need}, []Target{{Free: cpu(2), Runs: []Run{batchRun(1, 2, 0)}}}, nil},
		{"a run that ends in time needs no stop", []Need{need}, []Target{{Runs: []Run{ending, batchRun(2, 2, 0)}}}, nil},
		{"it makes room for one item only", []Need{two}, []Target{{Runs: []Run{ending, batchRun(2, 2, 0)}}}, []int{2}},
		{"each need has room of its own", []Need{need, need}, []Target{{Runs: []Run{ending, batchRun(2, 2, 0), batchRun(3, 2, 1)}}}, []int{2}},
		{"a host that arrives in time needs no stop", []Need{need}, []Target{{After: s, Free: cpu(4)}, {Runs: []Run{batchRun(1, 2, 0)}}}, nil},
		{"one that arrives later does not help", []Need{need}, []Target{{After: 3 * s, Free: cpu(4)}, {Runs: []Run{batchRun(1, 2, 0)}}}, []int{1}},
		{"no stop for work that would be late all the same", []Need{soon}, []Target{{Runs: []Run{batchRun(1, 2, 0)}}}, nil},
		{"no stop of a job that becomes late while another remains", []Need{need}, []Target{{Runs: []Run{late, batchRun(2, 2, 9)}}}, []int{2}},
		{"such a stop if none other remains", []Need{need}, []Target{{Runs: []Run{late}}}, []int{1}},
		{"no stop of a run that may not be stopped", []Need{need}, []Target{{Runs: []Run{kept}}}, nil},
		{"no stop of the same priority", []Need{need}, []Target{{Runs: []Run{urgent}}}, nil},
		{"several small runs on one target", []Need{need}, []Target{{Runs: []Run{batchRun(1, 1, 1), batchRun(2, 1, 2)}}}, []int{1, 2}},
		{"none if they are on two targets", []Need{need}, []Target{{Runs: []Run{batchRun(1, 1, 1)}}, {Runs: []Run{batchRun(2, 1, 2)}}}, nil},
		{"a small run is spared if a large one suffices", []Need{need}, []Target{{Runs: []Run{batchRun(1, 1, 1), batchRun(2, 2, 2)}}}, []int{2}},
		{"as many as there are", []Need{pair}, []Target{{Runs: []Run{batchRun(1, 2, 1)}}, {Runs: []Run{batchRun(2, 2, 1)}}}, []int{1, 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			got := Choose(tc.needs, tc.targets, 900*time.Millisecond)
			slices.Sort(got)
			is.Equal(got, tc.want)
		})
	}
}

// TestStopsMakeRoom guards against stops whose room does not suffice, against more stops than needed, and against stops of runs that may not be stopped, with random targets.
func TestStopsMakeRoom(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewSource(1))
	for range 2000 {
		need := Need{Reservation: cpu(1 + r.Int63n(4)), Count: 1 + r.Intn(4), Priority: 1, Slack: time.Second}
		var runs []Run
		targets := make([]Target, 1+r.Intn(4))
		for i := range targets {
			targets[i].Free = cpu(r.Int63n(3))
			for range r.Intn(6) {
				run := Run{ID: len(runs), Reservation: cpu(1 + r.Int63n(3)), Remaining: time.Minute, Priority: r.Intn(4), Stoppable: r.Intn(3) > 0, Unsaved: r.Float64(), JobLate: r.Intn(4) == 0}
				runs = append(runs, run)
				targets[i].Runs = append(targets[i].Runs, run)
			}
		}
		before, after := int64(0), int64(0)
		chosen := Choose([]Need{need}, targets, time.Second/2)
		for _, id := range chosen {
			is.True(runs[id].Stoppable && runs[id].Priority > need.Priority)
		}
		for i := range targets {
			free := targets[i].Free.CPU
			before += free / need.Reservation.CPU
			stops := 0
			for _, run := range targets[i].Runs {
				if slices.Contains(chosen, run.ID) {
					free += run.Reservation.CPU
					stops++
				}
			}
			gained := free/need.Reservation.CPU - targets[i].Free.CPU/need.Reservation.CPU
			is.True(stops == 0 || gained > 0) // no target stops runs for nothing
			after += free / need.Reservation.CPU
		}
		is.True(len(chosen) == 0 || before < int64(need.Count))
		is.Equal(len(slices.Compact(slices.Sorted(slices.Values(chosen)))), len(chosen)) // none twice
		is.True(after >= before)
	}
}
