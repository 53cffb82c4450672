package alloc

import "time"

// Times and bounds of the ejection of targets that several seats found failing.
const (
	// quorum is the number of seats whose reports within reportWindow eject a target.
	quorum       = 2
	reportWindow = 3 * time.Second
	ejectBase    = 4 * time.Second
	ejectMost    = time.Minute
	// probation is how long an ejected target gets one slot before it gets all again.
	probation = 2 * time.Second
	// keptPercent of a service's targets are never ejected.
	keptPercent = 50
)

// outlier is what the allocator knows of one target's failures.
type outlier struct {
	// seen holds each incarnation's count of ejections, and reported when a seat's last grew.
	seen     map[source]int
	reported map[string]time.Time
	// until ends the ejection, and probationUntil the probation after it.
	until          time.Time
	probationUntil time.Time
	ejections      int
}

// source is one run of one process that reports.
type source struct {
	seat        string
	incarnation string
}

// observeEjections takes a seat's counts of ejections; a first count above one is of earlier failures and not taken for a report.
func (t *Allocator) observeEjections(r Report, now time.Time) {
	from := source{seat: r.Seat, incarnation: r.Incarnation}
	for _, u := range r.Uses {
		o := t.outliers[u.Target]
		if o == nil {
			o = &outlier{seen: map[source]int{}, reported: map[string]time.Time{}}
			t.outliers[u.Target] = o
		}
		if before, known := o.seen[from]; u.Ejections > before && (known || u.Ejections == 1) {
			o.reported[r.Seat] = now
		}
		o.seen[from] = u.Ejections
	}
}

// ejectOutliers gives no slots to targets that enough seats found failing, as long as enough targets remain.
func (t *Allocator) ejectOutliers(now time.Time) {
	t.slots = make(map[string]int, len(t.layout.Targets))
	ejected := 0
	for _, target := range t.layout.Targets {
		if o := t.outliers[target.Name]; o != nil && now.Before(o.until) {
			ejected++
		}
	}
	for _, target := range t.layout.Targets {
		o := t.outliers[target.Name]
		if o != nil && o.failing(now) && (ejected+1)*100 <= len(t.layout.Targets)*(100-keptPercent) {
			o.eject(now)
			ejected++
		}
		t.slots[target.Name] = o.allowed(target.Slots, now)
	}
}

// failing reports whether the newest reports eject a target; on probation, one seat is enough.
func (o *outlier) failing(now time.Time) bool {
	if now.Before(o.until) {
		return false
	}
	reports := 0
	for _, at := range o.reported {
		if at.After(o.until) && now.Sub(at) <= reportWindow {
			reports++
		}
	}
	return reports >= quorum || reports > 0 && now.Before(o.probationUntil)
}

func (o *outlier) eject(now time.Time) {
	if now.Sub(o.probationUntil) > ejectMost {
		o.ejections = 0
	}
	o.until = now.Add(min(ejectBase<<o.ejections, ejectMost))
	o.probationUntil = o.until.Add(probation)
	o.ejections++
}

func (o *outlier) allowed(slots int, now time.Time) int {
	switch {
	case o == nil || !now.Before(o.probationUntil):
		return slots
	case now.Before(o.until):
		return 0
	default:
		return min(slots, 1)
	}
}
