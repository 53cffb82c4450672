package entry

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/plat"
)

// hostsPeriod is how often the platform's host list is read.
const hostsPeriod = time.Second

// watchHosts reads the platform's host list until ctx ends.
func (n *Node) watchHosts(ctx context.Context) {
	ticker := n.clock.NewTicker(hostsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			n.readHosts(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// readHosts takes the hosts that are leaving out of use; a list that cannot be read changes nothing.
func (n *Node) readHosts(ctx context.Context) {
	hosts, err := n.hostList.Hosts(ctx)
	if err != nil {
		n.log.Debug("host list not read", zap.Error(err))
		return
	}
	leaving := map[string]bool{}
	for _, h := range hosts {
		if h.State == plat.HostLeaving {
			leaving[h.Name] = true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if maps.Equal(leaving, n.leaving) {
		return
	}
	for name := range leaving {
		if !n.leaving[name] {
			n.line.Add(event.KindTarget, name, "host list", "leaving: no new work")
		}
	}
	n.leaving = leaving
	n.layout(n.state.Tables())
}

// usableHosts returns the hosts of the tables, of which those that are leaving count as draining.
func (n *Node) usableHosts(t fold.Tables) []fleet.Host {
	hosts := t.Hosts.All()
	for i, h := range hosts {
		if n.leaving[h.Name] {
			hosts[i] = h.WithDraining(true)
		}
	}
	return hosts
}
