package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRegularCallsLeaveRoomOnAThinLink checks intervals at the sizes that were met: 48 hosts at a gigabit, 349 at 10 megabits and 129 at 2.
func TestRegularCallsLeaveRoomOnAThinLink(t *testing.T) {
	for _, c := range []struct {
		name    string
		mbps    float64
		targets int
		gap     time.Duration
		hosts   time.Duration
	}{
		{name: "link not known", targets: 349, gap: renewGapLeast, hosts: hostsLookLeast},
		{name: "wide link", mbps: 1000, targets: 48, gap: renewGapLeast, hosts: hostsLookLeast},
		{name: "10 megabits", mbps: 10, targets: 349, gap: 1116800 * time.Microsecond, hosts: 502560 * time.Microsecond},
		{name: "2 megabits", mbps: 2, targets: 129, gap: renewGapMost, hosts: 928800 * time.Microsecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newLink(c.mbps)
			is.Equal(l.renewGap(c.targets), c.gap)
			is.Equal(l.hostsLook(c.targets), c.hosts)
			is.True(l.fits(1000))
			is.True(c.mbps == 0 || l.page().Seconds()*c.mbps*1e6/8 > pageBytes-1)
			is.Equal(l.fits(10_000_000), c.mbps == 0 || c.mbps > 320)
		})
	}
}
