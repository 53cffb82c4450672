package admit

import "time"

// Bounds of the ejection of failing targets.
const (
	consecutiveFailuresToEject = 3
	minEjection                = time.Second
	maxEjection                = 30 * time.Second
	// busyBackoff is how long a target gets no requests after it refused one.
	busyBackoff = 50 * time.Millisecond
	// minUnejectedPercent is the minimum percentage of a service's targets that are not ejected.
	minUnejectedPercent = 50
)

// target is the state of one target in this entry process.
type target struct {
	name    string
	address string
	service ServiceID
	slots   int
	// credit is the number of the target's slots that this entry process may occupy.
	credit     int
	running    int
	draining   bool
	configured bool
	// freeIndex is the target's index in its service's freeTargets, or -1.
	freeIndex int

	consecutiveFailures int
	// backoffExponent sets the length of the next ejection and is reset when a probe succeeds; ejections counts all ejections.
	backoffExponent int
	ejections       int
	ejected         bool
	ejectedUntil    time.Time
	// busy is set when the target refuses a request; the target gets no new ones until busyUntil.
	busy      bool
	busyUntil time.Time
	// probing is set when an ejection ends; the target runs at most one request at a time until one succeeds.
	probing bool
}

func (t *target) usableSlots() int {
	switch {
	case !t.configured, t.draining, t.ejected, t.busy:
		return 0
	case t.probing:
		return min(t.credit, 1)
	default:
		return t.credit
	}
}

func (t *target) freeSlots() int { return t.usableSlots() - t.running }
