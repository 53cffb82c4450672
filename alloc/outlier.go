package alloc

import "time"

// Times and bounds of the ejection of targets that several entry processes report as failing.
const (
	// ejectQuorum is the number of entry processes whose reports within ejectReportWindow eject a target.
	ejectQuorum       = 2
	ejectReportWindow = 3 * time.Second
	ejectBaseTime     = 4 * time.Second
	ejectMaxTime      = time.Minute
	// maxEjectionDoublings reaches ejectMaxTime from ejectBaseTime.
	maxEjectionDoublings = 4
	// probationTime is how long a target has one slot after its ejection ends, before it has all slots again.
	probationTime = 2 * time.Second
	// minAvailablePercent is the minimum percentage of a service's targets that stay available even if all are reported as failing.
	minAvailablePercent = 50
)

// outlier is the failure state of one target.
type outlier struct {
	// ejectionCounts holds the last ejection count of each reporter, and reportedAt the time at which each seat's count last increased.
	ejectionCounts map[reporter]int
	reportedAt     map[string]time.Time
	// ejectedUntil is the end of the ejection, and probationUntil the end of the probation after it.
	ejectedUntil   time.Time
	probationUntil time.Time
	// ejections counts the ejections since the target was last healthy for longer than ejectMaxTime.
	ejections int
}

// reporter identifies one incarnation of an entry process.
type reporter struct {
	seat        string
	incarnation string
}

// observeEjections records the ejection counts of a report. A reporter's first count is not taken as a new ejection if it is above one, because some of the counted ejections are old.
func (a *Allocator) observeEjections(r Report, now time.Time) {
	from := reporter{seat: r.Seat, incarnation: r.Incarnation}
	for _, u := range r.Uses {
		o := a.outliers[u.Target]
		if o == nil {
			o = &outlier{ejectionCounts: map[reporter]int{}, reportedAt: map[string]time.Time{}}
			a.outliers[u.Target] = o
		}
		if before, known := o.ejectionCounts[from]; u.Ejections > before && (known || u.Ejections == 1) {
			o.reportedAt[r.Seat] = now
		}
		o.ejectionCounts[from] = u.Ejections
	}
}

// ejectOutliers ejects the targets that enough processes report as failing, unless too few targets would remain, and sets the usable slots of each target.
func (a *Allocator) ejectOutliers(now time.Time) {
	a.usableSlots = make(map[string]int, len(a.config.Targets))
	ejected := 0
	for _, target := range a.config.Targets {
		if o := a.outliers[target.Name]; o != nil && now.Before(o.ejectedUntil) {
			ejected++
		}
	}
	for _, target := range a.config.Targets {
		o := a.outliers[target.Name]
		if o != nil && o.shouldEject(now) && (ejected+1)*100 <= len(a.config.Targets)*(100-minAvailablePercent) {
			o.eject(now)
			ejected++
		}
		a.usableSlots[target.Name] = o.allowedSlots(target.Slots, now)
	}
}

// shouldEject reports whether enough recent reports call for an ejection; during probation, one is enough.
func (o *outlier) shouldEject(now time.Time) bool {
	if now.Before(o.ejectedUntil) {
		return false
	}
	reports := 0
	for _, at := range o.reportedAt {
		if at.After(o.ejectedUntil) && now.Sub(at) <= ejectReportWindow {
			reports++
		}
	}
	return reports >= ejectQuorum || reports > 0 && now.Before(o.probationUntil)
}

// eject ejects the target for ejectBaseTime, doubled for each ejection before, up to ejectMaxTime.
func (o *outlier) eject(now time.Time) {
	if now.Sub(o.probationUntil) > ejectMaxTime {
		o.ejections = 0
	}
	o.ejectedUntil = now.Add(min(ejectBaseTime<<min(o.ejections, maxEjectionDoublings), ejectMaxTime))
	o.probationUntil = o.ejectedUntil.Add(probationTime)
	o.ejections++
}

// allowedSlots returns how many of the target's slots may be used: all, none during an ejection, and one during the probation after it.
func (o *outlier) allowedSlots(slots int, now time.Time) int {
	switch {
	case o == nil || !now.Before(o.probationUntil):
		return slots
	case now.Before(o.ejectedUntil):
		return 0
	default:
		return min(slots, 1)
	}
}
