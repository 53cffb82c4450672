package agent

import (
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/shed"
)

// TestRefusalsAndEvictionsAreCounted guards against refusals and stops for urgent work that operators cannot see on the metrics page.
func TestRefusalsAndEvictionsAreCounted(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	m := newMeters(scope, nil)
	m.countShed(shed.ReasonTeam)
	m.countShed(shed.ReasonTeam)
	m.countEvictions(sched.Evictions{Runs: 2, CoreSeconds: 1.5})
	m.countEvictions(sched.Evictions{Runs: 1, CoreSeconds: 0.5})
	s := scope.Snapshot()
	is.Equal(s.Counters()["shed_refusals+reason=team"].Value(), int64(2))
	is.Equal(s.Counters()["evictions+"].Value(), int64(3))
	is.Equal(s.Gauges()["evicted_core_seconds+"].Value(), 2.0)
}
