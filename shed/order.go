package shed

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Class says by when a job can be complete.
type Class int

// The classes of jobs, in the order in which they are served within a priority.
const (
	// InTime jobs can meet their objective beside those that are served before them.
	InTime Class = iota
	// Late jobs miss their objective, but their results are still of use.
	Late
	// Useless jobs cannot be complete while their results are of use.
	Useless
)

// Arrange returns the class of each demand. It follows Moore and Hodgson's rule for the largest number of jobs in time: jobs are taken by rank, and whenever one could not start in time any more, a job with much work gives way. That one is the largest of the team that has the most accepted work by its weight, so that a team within its share does not lose jobs to the backlog of another. What gives way is tried once more with the time for which results are of use. Higher priorities and teams within their share are arranged first.
func Arrange(demands []Demand, room Room) []Class {
	classes := make([]Class, len(demands))
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &demands[a], &demands[b]
		switch {
		case x.Priority != y.Priority:
			return cmp.Compare(x.Priority, y.Priority)
		case x.OverShare != y.OverShare:
			if x.OverShare {
				return 1
			}
			return -1
		default:
			return cmp.Compare(x.Rank, y.Rank)
		}
	})
	served := 0.0
	for len(order) > 0 {
		n := 1
		for n < len(order) && demands[order[n]].Priority == demands[order[0]].Priority {
			n++
		}
		served = arrangePriority(demands, order[:n], classes, room, served)
		order = order[n:]
	}
	return classes
}

// arrangePriority classes the demands of one priority, given the work that is served before them, and returns the work that is served with them.
func arrangePriority(demands []Demand, order []int, classes []Class, room Room, served float64) float64 {
	var rest []int
	for len(order) > 0 {
		n := 1
		for n < len(order) && demands[order[n]].OverShare == demands[order[0]].OverShare {
			n++
		}
		var left []int
		served, left = accept(demands, order[:n], room, served, func(d *Demand) time.Duration { return d.Slack })
		rest = append(rest, left...)
		order = order[n:]
	}
	slices.SortStableFunc(rest, func(a, b int) int { return cmp.Compare(demands[a].UsefulSlack, demands[b].UsefulSlack) })
	for _, i := range rest {
		classes[i] = Late
	}
	served, rest = accept(demands, rest, room, served, func(d *Demand) time.Duration { return d.UsefulSlack })
	for _, i := range rest {
		classes[i] = Useless
		if demands[i].UsefulSlack >= 0 {
			served += demands[i].Work
		}
	}
	return served
}

// accept takes demands in the given order as long as each can be started within its limit, and returns the work that is served with those that it keeps, and the demands that gave way.
func accept(demands []Demand, order []int, room Room, served float64, limit func(*Demand) time.Duration) (float64, []int) {
	var left []int
	teams := map[string]*acceptedTeam{}
	for _, i := range order {
		d := &demands[i]
		if limit(d) < 0 {
			left = append(left, i)
			continue
		}
		team, ok := teams[d.Team]
		if !ok {
			team = &acceptedTeam{demands: demands, weight: d.weight()}
			teams[d.Team] = team
		}
		heap.Push(team, i)
		served += d.Work
		for served-d.Work+d.Before > room.By(limit(d)) {
			most := largestTeam(teams)
			victim := heap.Pop(most).(int)
			served -= demands[victim].Work
			left = append(left, victim)
			if victim == i {
				break
			}
		}
	}
	return served, left
}

// largestTeam returns the team that has the most accepted work by its weight; of equal ones it is the first by name.
func largestTeam(teams map[string]*acceptedTeam) *acceptedTeam {
	var most *acceptedTeam
	name := ""
	for n, t := range teams {
		if len(t.jobs) == 0 {
			continue
		}
		if most == nil || t.load() > most.load() || (t.load() == most.load() && n < name) {
			most, name = t, n
		}
	}
	return most
}

// acceptedTeam is a heap of a team's accepted demands, most work first.
type acceptedTeam struct {
	demands []Demand
	jobs    []int
	weight  float64
	work    float64
}

func (t *acceptedTeam) load() float64 { return t.work / t.weight }

// Len is part of heap.Interface.
func (t *acceptedTeam) Len() int { return len(t.jobs) }

// Less is part of heap.Interface.
func (t *acceptedTeam) Less(a, b int) bool {
	x, y := &t.demands[t.jobs[a]], &t.demands[t.jobs[b]]
	if x.Work != y.Work {
		return x.Work > y.Work
	}
	return t.jobs[a] > t.jobs[b]
}

// Swap is part of heap.Interface.
func (t *acceptedTeam) Swap(a, b int) { t.jobs[a], t.jobs[b] = t.jobs[b], t.jobs[a] }

// Push is part of heap.Interface.
func (t *acceptedTeam) Push(x any) {
	i := x.(int)
	t.jobs = append(t.jobs, i)
	t.work += t.demands[i].Work
}

// Pop is part of heap.Interface.
func (t *acceptedTeam) Pop() any {
	last := len(t.jobs) - 1
	i := t.jobs[last]
	t.jobs = t.jobs[:last]
	t.work -= t.demands[i].Work
	return i
}
