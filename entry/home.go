package entry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderwing.example/lavenderwing/alloc"
)

// home is the allocator of the services that other processes find this one responsible for.
type home struct {
	clock clockwork.Clock

	mu       sync.Mutex
	layouts  map[string]alloc.Layout
	services map[string]*homeService
}

// homeService is one service's allocator with the calls that wait for a change.
type homeService struct {
	table *alloc.Table
	held  map[string]chan struct{}
}

func newHome(clock clockwork.Clock) *home {
	return &home{clock: clock, layouts: map[string]alloc.Layout{}, services: map[string]*homeService{}}
}

// configure replaces the layouts of all services.
func (h *home) configure(layouts map[string]alloc.Layout) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.layouts = layouts
	for name, s := range h.services {
		s.table.Configure(layouts[name])
	}
}

func (h *home) service(name string) *homeService {
	s := h.services[name]
	if s == nil {
		s = &homeService{table: alloc.New(), held: map[string]chan struct{}{}}
		s.table.Configure(h.layouts[name])
		h.services[name] = s
	}
	return s
}

// exchange takes a report, and holds the answer for a while if it has nothing new for the seat.
func (h *home) exchange(r alloc.Report, hold time.Duration) alloc.Allocation {
	h.mu.Lock()
	s := h.service(r.Service)
	s.wake(r.Seat)
	allocation := s.table.Report(r, h.clock.Now())
	for _, seat := range s.table.Stirred(r.Seat, h.clock.Now()) {
		s.wake(seat)
	}
	if hold <= 0 || !allocation.Same {
		h.mu.Unlock()
		return allocation
	}
	stirred := make(chan struct{})
	s.held[r.Seat] = stirred
	h.mu.Unlock()
	select {
	case <-stirred:
	case <-h.clock.After(hold):
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.held[r.Seat] == stirred {
		delete(s.held, r.Seat)
	}
	if newer, ok := s.table.Again(r.Seat, h.clock.Now()); ok {
		return newer
	}
	return allocation
}

// wake ends the call that is held for a seat.
func (s *homeService) wake(seat string) {
	if held := s.held[seat]; held != nil {
		close(held)
		delete(s.held, seat)
	}
}
