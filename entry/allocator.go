package entry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderwing.example/lavenderwing/alloc"
)

// allocators divides the services that other processes find this one responsible for.
type allocators struct {
	clock clockwork.Clock

	mu       sync.Mutex
	layouts  map[string]alloc.ServiceConfig
	services map[string]*allocator
}

// allocator is one service's allocator with the calls that wait for a change.
type allocator struct {
	table *alloc.Allocator
	held  map[string]chan struct{}
}

func newAllocators(clock clockwork.Clock) *allocators {
	return &allocators{clock: clock, layouts: map[string]alloc.ServiceConfig{}, services: map[string]*allocator{}}
}

// configure replaces the layouts of all services.
func (a *allocators) configure(layouts map[string]alloc.ServiceConfig) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.layouts = layouts
	for name, s := range a.services {
		s.table.Configure(layouts[name])
	}
}

func (a *allocators) service(name string) *allocator {
	s := a.services[name]
	if s == nil {
		s = &allocator{table: alloc.New(), held: map[string]chan struct{}{}}
		s.table.Configure(a.layouts[name])
		a.services[name] = s
	}
	return s
}

// exchange takes a report, and holds the answer for a while if it has nothing new for the seat.
func (a *allocators) exchange(r alloc.Report, hold time.Duration) alloc.Allocation {
	a.mu.Lock()
	s := a.service(r.Service)
	s.wake(r.Seat)
	allocation := s.table.HandleReport(r, a.clock.Now())
	for _, seat := range s.table.SeatsToUpdate(r.Seat, a.clock.Now()) {
		s.wake(seat)
	}
	if hold <= 0 || !allocation.Same {
		a.mu.Unlock()
		return allocation
	}
	changed := make(chan struct{})
	s.held[r.Seat] = changed
	a.mu.Unlock()
	select {
	case <-changed:
	case <-a.clock.After(hold):
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.held[r.Seat] == changed {
		delete(s.held, r.Seat)
	}
	if newer, ok := s.table.Refresh(r.Seat, a.clock.Now()); ok {
		return newer
	}
	return allocation
}

// wake ends the call that is held for a seat.
func (s *allocator) wake(seat string) {
	if held := s.held[seat]; held != nil {
		close(held)
		delete(s.held, seat)
	}
}
