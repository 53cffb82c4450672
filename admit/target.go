package admit

import "time"

// Bounds of the ejection of targets that fail.
const (
	failuresToEject = 3
	ejectBase       = time.Second
	ejectMost       = 30 * time.Second
	// busyWait is how long a target that refused a request gets no other.
	busyWait = 50 * time.Millisecond
	// keptPercent of a service's targets are never ejected.
	keptPercent = 50
)

// target is one executor as this entry process sees it.
type target struct {
	name    string
	address string
	service ServiceID
	slots   int
	// credit is the number of slots that this entry process may occupy.
	credit   int
	running  int
	draining bool
	present  bool
	// free is the target's place in its service's list of targets with a free slot, or -1.
	free int

	failures int
	// ejects sets the length of the next ejection, and ejections counts all of them.
	ejects    int
	ejections int
	ejected   bool
	until     time.Time
	// busy targets refused a request, and get no new one until a time.
	busy      bool
	busyUntil time.Time
	// probing targets were ejected and may run one request to show that they work again.
	probing bool
}

func (t *target) allowed() int {
	switch {
	case !t.present, t.draining, t.ejected, t.busy:
		return 0
	case t.probing:
		return min(t.credit, 1)
	default:
		return t.credit
	}
}

func (t *target) spare() int { return t.allowed() - t.running }
