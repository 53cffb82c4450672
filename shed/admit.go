package shed

import "time"

// Reason says which work leaves no room for a job.
type Reason string

// The reasons for which a job is refused.
const (
	// ReasonPriority means that work of higher priority takes the whole room.
	ReasonPriority Reason = "priority"
	// ReasonTeam means that earlier work of the job's own team exceeds the team's share.
	ReasonTeam Reason = "team"
	// ReasonPool means that earlier work of all teams together exceeds the room.
	ReasonPool Reason = "pool"
)

// Verdict is the decision on a job that arrives.
type Verdict struct {
	Refused bool
	Reason  Reason
	// Ahead is the work, in millicore-seconds, that is served before the job within the time that it may wait, and Wait the time that this work takes.
	Ahead float64
	Wait  time.Duration
}

// Admit decides on a job that arrives at a pool with the given waiting work. The job is refused if the work that is certainly served before it takes longer than its UsefulSlack. That work is what has a higher priority, what the job's team has waiting with no later rank, and of each other team what has no later rank, up to that team's share of the room. Work that is already too late to be of use is served last and does not count, nor does the job's own work, so that an empty pool accepts every job.
func Admit(job *Demand, waiting []Demand, room Room) Verdict {
	urgent, own := 0.0, 0.0
	var others []teamWork
	numbers := map[string]int{}
	weights := job.weight()
	for i := range waiting {
		d := &waiting[i]
		switch {
		case d.UsefulSlack < 0 || d.Priority > job.Priority:
		case d.Priority < job.Priority:
			urgent += d.Work
		case d.Team == job.Team:
			if d.Rank <= job.Rank {
				own += d.Work
			}
		default:
			n, ok := numbers[d.Team]
			if !ok {
				n = len(others)
				numbers[d.Team] = n
				others = append(others, teamWork{weight: d.weight()})
				weights += d.weight()
			}
			if d.Rank <= job.Rank {
				others[n].work += d.Work
			}
		}
	}
	left := max(room.By(job.UsefulSlack)-urgent, 0)
	earlier := 0.0
	for _, w := range others {
		earlier += min(w.work, left*w.weight/weights)
	}
	v := Verdict{Ahead: urgent + own + earlier, Reason: ReasonPool}
	v.Wait = room.TimeFor(v.Ahead)
	v.Refused = v.Wait > max(job.UsefulSlack, 0)
	switch {
	case !v.Refused:
		v.Reason = ""
	case urgent > room.By(job.UsefulSlack):
		v.Reason = ReasonPriority
	case own > left*job.weight()/weights:
		v.Reason = ReasonTeam
	}
	return v
}

// teamWork is the work of one team and its weight.
type teamWork struct{ weight, work float64 }
