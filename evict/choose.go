package evict

import (
	"cmp"
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Run is a run on a target.
type Run struct {
	// ID identifies the run to the caller of Choose.
	ID int
	// Reservation is what the run leaves when it ends.
	Reservation work.Resources
	// Remaining is its expected run time from now.
	Remaining time.Duration
	// Priority is that of the run's queue; a lower number comes first.
	Priority int
	// Stoppable means that the run may be stopped: it saves a checkpoint, serves no callers, is part of no gang and was not stopped lately.
	Stoppable bool
	// Unsaved is the processor time since its last checkpoint, in core-seconds, which a stop without a new one loses.
	Unsaved float64
	// JobLate means that its job becomes late by the stop.
	JobLate bool
}

// Target is a target that suits the urgent work.
type Target struct {
	// After is when the target can be used from now on; 0 for one that can be used at once.
	After time.Duration
	Free  work.Resources
	Runs  []Run
}

// Need is urgent work that finds no room: Count items of the same size, each of which has to start within Slack.
type Need struct {
	Reservation work.Resources
	Count       int
	Priority    int
	Slack       time.Duration
}

// Choose returns the identifiers of the runs to stop for the needs, which are given in the order in which they are served. The room of a stopped run can be used after stopTime. Items for which room becomes free in time, by runs that end or hosts that arrive, need no stop, and none are stopped for items that would be late all the same. On each target, just as many runs are stopped as make room for one more item; of the targets, the one comes first whose stops cost least.
func Choose(needs []Need, targets []Target, stopTime time.Duration) []int {
	rooms := make([]room, len(targets))
	for i := range targets {
		rooms[i] = newRoom(&targets[i])
	}
	var chosen []int
	for i := range needs {
		if needs[i].Slack >= stopTime {
			chosen = append(chosen, makeRoom(&needs[i], rooms)...)
		}
	}
	return chosen
}

// makeRoom takes room for a need's items and returns the runs to stop for it.
func makeRoom(need *Need, rooms []room) []int {
	left := need.Count
	for i := range rooms {
		for left > 0 && rooms[i].takeEnding(need) {
			left--
		}
	}
	if left == 0 {
		return nil
	}
	offers := make([]offer, len(rooms))
	for i := range rooms {
		offers[i] = rooms[i].offer(need)
	}
	var chosen []int
	for ; left > 0; left-- {
		best := -1
		for i := range offers {
			if offers[i].victims != nil && (best < 0 || offers[i].price.less(offers[best].price)) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		chosen = append(chosen, rooms[best].stop(need, offers[best].victims)...)
		offers[best] = rooms[best].offer(need)
	}
	return chosen
}

// offer is what a room for one item costs on a target: the positions of the runs to stop, nil if their room does not suffice, and the price.
type offer struct {
	victims []int
	price   price
}

// price is the cost of some stops: the jobs that become late, then the processor time that may be lost.
type price struct {
	late    int
	unsaved float64
}

func (a price) less(b price) bool {
	if a.late != b.late {
		return a.late < b.late
	}
	return a.unsaved < b.unsaved
}

// room is what is left of a target after the ends and stops that have been counted on.
type room struct {
	after time.Duration
	free  work.Resources
	// runs holds the target's remaining runs: those that end first come first.
	runs []Run
}

func newRoom(t *Target) room {
	r := room{after: t.After, free: t.Free, runs: slices.Clone(t.Runs)}
	slices.SortStableFunc(r.runs, func(a, b Run) int { return cmp.Compare(a.Remaining, b.Remaining) })
	return r
}

// takeEnding uses the room of runs that end in time for one item, and reports whether it suffices.
func (r *room) takeEnding(need *Need) bool {
	if r.after > need.Slack {
		return false
	}
	free := r.free
	for n := 0; ; n++ {
		if need.Reservation.Fits(free) {
			r.free, r.runs = free.Sub(need.Reservation), r.runs[n:]
			return true
		}
		if n == len(r.runs) || r.runs[n].Remaining > need.Slack {
			return false
		}
		free = free.Add(r.runs[n].Reservation)
	}
}

// offer returns the cheapest runs whose stops make room for one item. Runs are taken by the price of each; those that turn out not to be needed are left out, the dearest first.
func (r *room) offer(need *Need) offer {
	var candidates []int
	for n := range r.runs {
		if run := &r.runs[n]; run.Stoppable && run.Priority > need.Priority {
			candidates = append(candidates, n)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int {
		x, y := r.runs[a].price(), r.runs[b].price()
		switch {
		case x.less(y):
			return -1
		case y.less(x):
			return 1
		default:
			return 0
		}
	})
	free := r.free
	n := 0
	for ; n < len(candidates) && !need.Reservation.Fits(free); n++ {
		free = free.Add(r.runs[candidates[n]].Reservation)
	}
	if n == 0 || !need.Reservation.Fits(free) {
		return offer{}
	}
	var o offer
	for _, c := range slices.Backward(candidates[:n]) {
		run := &r.runs[c]
		if without := free.Sub(run.Reservation); need.Reservation.Fits(without) {
			free = without
			continue
		}
		o.victims = append(o.victims, c)
		p := run.price()
		o.price.late += p.late
		o.price.unsaved += p.unsaved
	}
	return o
}

// stop takes the room of the runs at the given positions for one item, and returns their identifiers.
func (r *room) stop(need *Need, victims []int) []int {
	slices.Sort(victims)
	var ids []int
	for _, n := range slices.Backward(victims) {
		ids = append(ids, r.runs[n].ID)
		r.free = r.free.Add(r.runs[n].Reservation)
		r.runs = slices.Delete(r.runs, n, n+1)
	}
	r.free = r.free.Sub(need.Reservation)
	return ids
}

// price is the cost of stopping the run.
func (run *Run) price() price {
	if run.JobLate {
		return price{late: 1, unsaved: run.Unsaved}
	}
	return price{unsaved: run.Unsaved}
}
