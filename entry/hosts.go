package entry

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/logapi"
	"lavenderwing.example/lavenderwing/state"
)

// hostListPeriod is the time between two reads of the platform's host list.
const hostListPeriod = time.Second

// watchHosts reads the platform's host list until ctx ends.
func (n *Node) watchHosts(ctx context.Context) {
	ticker := n.clock.NewTicker(hostListPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			n.updateLeavingHosts(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// updateLeavingHosts drains the hosts that the platform lists as leaving, because requests that still run there when they leave are lost. If the host list cannot be read, the last one stays in use.
func (n *Node) updateLeavingHosts(ctx context.Context) {
	hosts, err := n.hostList.Hosts(ctx)
	if err != nil {
		n.log.Debug("could not read the host list; keeping the last one", zap.Error(err))
		return
	}
	leaving := map[string]bool{}
	for _, h := range hosts {
		if h.State == logapi.HostLeaving {
			leaving[h.Name] = true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if maps.Equal(leaving, n.leavingHosts) {
		return
	}
	for name := range leaving {
		if !n.leavingHosts[name] {
			n.timeline.Add(event.KindTarget, name, "host list", "leaving: no new work")
		}
	}
	n.leavingHosts = leaving
	n.applyConfig(n.state.Tables())
}

// configuredHosts returns the configured hosts, of which leaving ones are marked as draining.
func (n *Node) configuredHosts(t state.Tables) []fleet.Host {
	hosts := t.Hosts.All()
	for i, h := range hosts {
		if n.leavingHosts[h.Name] {
			hosts[i] = h.WithDraining(true)
		}
	}
	return hosts
}
