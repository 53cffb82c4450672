package load

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/entry"
)

// Timing of the load balancer's health checks.
const (
	healthCheckInterval = 250 * time.Millisecond
	healthCheckTimeout  = 250 * time.Millisecond
)

// runEvery calls a function periodically until stop is closed.
func runEvery(period time.Duration, stop <-chan struct{}, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			do()
		}
	}
}

// checkHealth simulates the health check of the platform's load balancer, which sends requests only to entry processes
// that pass it.
func (g *Generator) checkHealth() {
	passed := make([]bool, len(g.settings.Entries))
	done := make(chan struct{})
	for i, address := range g.settings.Entries {
		go func() {
			status, _, err := fasthttp.GetTimeout(nil, "http://"+address+entry.HealthPath, healthCheckTimeout)
			passed[i] = err == nil && status == fasthttp.StatusOK
			done <- struct{}{}
		}()
	}
	for range g.settings.Entries {
		<-done
	}
	var healthy []string
	for i, address := range g.settings.Entries {
		if passed[i] {
			healthy = append(healthy, address)
		}
	}
	g.mu.Lock()
	changed := !slices.Equal(healthy, g.healthyEntries)
	g.healthyEntries = healthy
	g.mu.Unlock()
	if changed {
		// A request on a connection that was opened before an entry process restarted would get no reply.
		g.client.CloseIdleConnections()
	}
}

// pickEntry returns the entry process that the load balancer chooses for the next attempt of a request: a healthy one,
// or any if none is healthy.
func (g *Generator) pickEntry(req request) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := g.healthyEntries
	if len(entries) == 0 {
		entries = g.settings.Entries
	}
	return entries[req.entryIndex%uint64(len(entries))]
}
