package shed

import "time"

// Room is the capacity of a pool for batch work.
type Room struct {
	// Now is the present capacity in millicores, of which what runs uses a part.
	Now float64
	// Coming is the further capacity in millicores that is available from Lead on.
	Coming float64
	Lead   time.Duration
}

// By returns the work, in millicore-seconds, that can be started until the given time from now.
func (r Room) By(t time.Duration) float64 {
	return r.Now*max(t, 0).Seconds() + r.Coming*max(t-r.Lead, 0).Seconds()
}

// endless is the time for work that never finds room; it exceeds the bounds of all return times.
const endless = time.Hour

// TimeFor returns how long it takes until the given work, in millicore-seconds, has been started, at most an hour.
func (r Room) TimeFor(work float64) time.Duration {
	if work <= 0 {
		return 0
	}
	seconds := endless.Seconds()
	if first := r.Now * r.Lead.Seconds(); first >= work {
		seconds = work / r.Now
	} else if r.Now+r.Coming > 0 {
		seconds = r.Lead.Seconds() + (work-first)/(r.Now+r.Coming)
	}
	return time.Duration(min(seconds, endless.Seconds()) * float64(time.Second))
}

// Demand is the waiting work of a job in a pool.
type Demand struct {
	Team string
	// Weight is the team's share of the pool relative to those of the other teams; a weight that is not positive counts as 1.
	Weight float64
	// Priority comes first if it is the lower number.
	Priority int
	// OverShare means that the team uses more than its share of the pool.
	OverShare bool
	// Slack is how much longer the job can wait and still meet its objective, UsefulSlack how much longer its result is of use. Both are negative if it is too late for that.
	Slack       time.Duration
	UsefulSlack time.Duration
	// Rank orders jobs of equal standing, least first. It is the slack, less the time since the job was first refused.
	Rank time.Duration
	// Work is the expected work of all its items that wait, in millicore-seconds, and Before the part that has to be started before the last item of a step that can be started now.
	Work   float64
	Before float64
}

// weight returns the weight of the demand's team.
func (d *Demand) weight() float64 {
	if d.Weight > 0 {
		return d.Weight
	}
	return 1
}
