package load

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/entry"
)

// Times of the balancer's health checks.
const (
	checkPeriod  = 250 * time.Millisecond
	checkTimeout = 250 * time.Millisecond
)

// every calls a function with the given period until stop is closed.
func every(period time.Duration, stop <-chan struct{}, do func()) {
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

// check plays the platform's balancer, which sends requests only to entry processes that pass its health check.
func (r *Run) check() {
	passed := make([]bool, len(r.settings.Entries))
	done := make(chan struct{})
	for i, address := range r.settings.Entries {
		go func() {
			status, _, err := fasthttp.GetTimeout(nil, "http://"+address+entry.HealthPath, checkTimeout)
			passed[i] = err == nil && status == fasthttp.StatusOK
			done <- struct{}{}
		}()
	}
	for range r.settings.Entries {
		<-done
	}
	var healthy []string
	for i, address := range r.settings.Entries {
		if passed[i] {
			healthy = append(healthy, address)
		}
	}
	r.mu.Lock()
	changed := !slices.Equal(healthy, r.healthy)
	r.healthy = healthy
	r.mu.Unlock()
	if changed {
		// A connection from before a restart is dead, and a request sent into it would have no reply.
		r.client.CloseIdleConnections()
	}
}

// entry returns the entry process that the balancer chooses, and any when none is healthy.
func (r *Run) entry(c call) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := r.healthy
	if len(entries) == 0 {
		entries = r.settings.Entries
	}
	return entries[c.pick%uint64(len(entries))]
}
