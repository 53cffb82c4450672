package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPeriodicCallsUseAShareOfTheLink guards against periodic calls that fill a slow link and delay starts and callers.
// It checks the pauses at the sizes of known sites: 48 hosts at 1 Gbit/s, 349 at 10 Mbit/s and 129 at 2 Mbit/s.
func TestPeriodicCallsUseAShareOfTheLink(t *testing.T) {
	for _, c := range []struct {
		name    string
		mbps    float64
		targets int
		renewal time.Duration
		hosts   time.Duration
	}{
		{name: "unknown bandwidth", targets: 349, renewal: minRenewPause, hosts: minHostsPause},
		{name: "1 gigabit", mbps: 1000, targets: 48, renewal: minRenewPause, hosts: minHostsPause},
		{name: "10 megabits", mbps: 10, targets: 349, renewal: 1116800 * time.Microsecond, hosts: 502560 * time.Microsecond},
		{name: "2 megabits", mbps: 2, targets: 129, renewal: maxRenewPause, hosts: 928800 * time.Microsecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newLink(c.mbps)
			is.Equal(l.renewPause(c.targets), c.renewal)
			is.Equal(l.hostsPause(c.targets), c.hosts)
			is.True(l.fits(1000))
			is.True(c.mbps == 0 || l.pageTime().Seconds()*c.mbps*1e6/8 > maxPageBytes-1)
			is.Equal(l.fits(10_000_000), c.mbps == 0 || c.mbps > 320)
		})
	}
}
