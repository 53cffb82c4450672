package agent

import (
	"time"

	"go.uber.org/zap"
)

// isolated reports whether this process serves a zone that is cut off together with its holder: the holder cannot write to the store and hears no process of another zone. Callers are then better served by another zone, which the load balancer chooses once no process of this zone is ready. During an outage of the store, processes of other zones are still heard, so that all stay ready.
func (a *Agent) isolated() bool {
	isolated := a.isIsolated()
	if a.wasIsolated.Swap(isolated) != isolated {
		a.log.Warn("zone is isolated", zap.Bool("isolated", isolated), zap.String("zone", a.settings.Zone),
			zap.String("cause", "whether the holder neither writes to the store nor hears another zone"))
		gauge := 0.0
		if isolated {
			gauge = 1
		}
		a.meters.isolated.Update(gauge)
	}
	return isolated
}

// isIsolated is isolated without the log line.
func (a *Agent) isIsolated() bool {
	if h := a.activeHolder(); h != nil {
		return h.isolated()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holderIsolated && a.detector.HolderCannotWrite()
}

// isolated reports whether the holder cannot write to the store and hears no process of another zone.
func (h *Holder) isolated() bool {
	if !h.cannotWrite() {
		return false
	}
	h.agent.mu.Lock()
	defer h.agent.mu.Unlock()
	return otherZonesSilent(h.agent.members, h.agent.settings.Zone, h.agent.clock.Now())
}

// otherZonesSilent reports whether members of other zones are known and none of them has been heard within followerTimeout. Members whose zone is not known, such as those of an earlier version, count as being of the own zone.
func otherZonesSilent(members map[string]member, ownZone string, now time.Duration) bool {
	known := false
	for _, m := range members {
		if m.zone == "" || m.zone == ownZone {
			continue
		}
		known = true
		if now-m.heardAt < followerTimeout {
			return false
		}
	}
	return known
}
