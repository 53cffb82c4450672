package agent

import "time"

// Shares of a host's link that the holder's periodic calls may use; the rest is for starts, callers and other processes. They matter on links of a few megabits a second.
const (
	renewShare = 0.3
	hostsShare = 0.1
	// bytesPerRenewal is the approximate size of a renewal and its reply for a dozen runs, bytesPerHost that of a host in the list.
	bytesPerRenewal = 1200
	bytesPerHost    = 180
	// maxPageBytes is the platform's limit for a page of the store's newest records.
	maxPageBytes = 1 << 20
	// maxRenewPause is the longest pause between a renewal's reply and the next renewal. It keeps three renewals within a lease on any link.
	maxRenewPause = 1200 * time.Millisecond
)

// link is the bandwidth of a host's network link, 0 if unknown.
type link struct{ bytesPerS float64 }

func newLink(mbps float64) link { return link{bytesPerS: mbps * 1e6 / 8} }

// interval is the time over which a call of the given size must be spread to use only a share of the link, 0 if the bandwidth is unknown.
func (l link) interval(bytes int, share float64) time.Duration {
	if l.bytesPerS <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / (l.bytesPerS * share) * float64(time.Second))
}

// fits reports whether the bytes are sent within 250 ms, a delay that callers do not notice.
func (l link) fits(bytes int) bool { return l.bytesPerS <= 0 || float64(bytes) <= l.bytesPerS/4 }

// pageTime is how long a full page of the store's records takes on the link. A call with a shorter timeout would fail at every retry.
func (l link) pageTime() time.Duration { return l.interval(maxPageBytes, 1) }

// renewPause is the pause between the reply to a renewal and the next renewal of the same target, while the given number of targets is renewed.
func (l link) renewPause(targets int) time.Duration {
	return min(max(l.interval(targets*bytesPerRenewal, renewShare), minRenewPause), maxRenewPause)
}

// hostsPause is the pause after a read of a list of the given number of hosts.
func (l link) hostsPause(hosts int) time.Duration {
	return max(l.interval(hosts*bytesPerHost, hostsShare), minHostsPause)
}
