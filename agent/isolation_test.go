package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/elect"
	"lavenderwing.example/lavenderwing/work"
)

// TestOtherZonesSilent guards against a zone that is cut off with its holder and goes on taking callers only to refuse them, and against processes that all report not ready during an outage of the store, when other zones are still heard.
func TestOtherZonesSilent(t *testing.T) {
	const now = time.Minute
	heard, silent := now-followerTimeout/2, now-followerTimeout
	for name, c := range map[string]struct {
		members map[string]member
		want    bool
	}{
		"another zone is heard":      {map[string]member{"a": {zone: "z1", heardAt: heard}, "b": {zone: "z2", heardAt: heard}}, false},
		"one of two zones is heard":  {map[string]member{"a": {zone: "z2", heardAt: silent}, "b": {zone: "z3", heardAt: heard}}, false},
		"other zones are silent":     {map[string]member{"a": {zone: "z1", heardAt: heard}, "b": {zone: "z2", heardAt: silent}, "c": {zone: "z3", heardAt: silent}}, true},
		"there is one zone":          {map[string]member{"a": {zone: "z1", heardAt: silent}}, false},
		"zone of others not known":   {map[string]member{"a": {zone: "z1", heardAt: heard}, "b": {heardAt: silent}}, false},
		"nobody has been heard ever": {map[string]member{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(otherZonesSilent(c.members, "z1", now), c.want)
		})
	}
}

// TestIsolatedProcessIsNotReady guards against a process that answers readiness checks while its holder and it are cut off from the store and all other zones, so that its zone's callers stay with it.
func TestIsolatedProcessIsNotReady(t *testing.T) {
	is := is.New(t)
	a, _ := newTestAgent(t)
	a.config.Store(&configState{config: &work.Config{Version: 1}})
	const epoch = 3
	a.detector.Follow(elect.Holder{Claim: elect.Claim{Address: "holder"}, Epoch: epoch}, a.clock.Now()+time.Minute)
	is.True(a.isReady()) // it hears a holder
	a.detector.RecordHeartbeat(epoch, true, a.clock.Now()+time.Minute)
	is.True(a.isReady()) // the store is down, other zones are heard
	a.holderIsolated = true
	is.True(!a.isReady())
	a.detector.RecordHeartbeat(epoch, false, a.clock.Now()+time.Minute)
	is.True(a.isReady()) // the holder writes again
}
