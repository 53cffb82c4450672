package agent

import "time"

// Shares of a host's link that the holder's regular calls may take; the rest is for starts, callers and other processes. They matter on links of a few megabits a second.
const (
	renewShare = 0.3
	hostsShare = 0.1
	// renewBytes is about what a renewal and its answer take for a dozen runs, and hostBytes what a host takes in the list.
	renewBytes = 1200
	hostBytes  = 180
	// pageBytes is the most that a page of the store's newest records takes, by the platform's pages.
	pageBytes = 1 << 20
	// renewGapMost keeps three renewals within a lease, however thin the link is.
	renewGapMost = 1200 * time.Millisecond
)

// link is what a host can send and receive.
type link struct{ bytesPerS float64 }

func newLink(mbps float64) link { return link{bytesPerS: mbps * 1e6 / 8} }

// interval is the time between two calls of some bytes that together take a share of the link, 0 where the link is not known.
func (l link) interval(bytes int, share float64) time.Duration {
	if l.bytesPerS <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / (l.bytesPerS * share) * float64(time.Second))
}

// fits reports whether so many bytes leave within a quarter of a second, in which callers notice no delay.
func (l link) fits(bytes int) bool { return l.bytesPerS <= 0 || float64(bytes) <= l.bytesPerS/4 }

// page is how long a whole page of the store's records takes on the link; a call that is given up earlier would be repeated for good.
func (l link) page() time.Duration { return l.interval(pageBytes, 1) }

// renewGap is the least time between two renewals of a target while so many targets are renewed.
func (l link) renewGap(targets int) time.Duration {
	return min(max(l.interval(targets*renewBytes, renewShare), renewGapLeast), renewGapMost)
}

// hostsLook is the time between two reads of the list of so many hosts.
func (l link) hostsLook(hosts int) time.Duration {
	return max(l.interval(hosts*hostBytes, hostsShare), hostsLookLeast)
}
