package entry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderwing.example/lavenderwing/alloc"
)

// allocators holds an allocator for each service on which entry processes have reported to this one. The reporting process chooses the allocator (see chooseAllocator), so this process need not know that it is one.
type allocators struct {
	clock clockwork.Clock

	mu       sync.Mutex
	configs  map[string]alloc.ServiceConfig
	services map[string]*serviceAllocator
}

// serviceAllocator divides one service's slots. heldCalls has a channel for each seat whose call waits for a change; closing it ends the wait.
type serviceAllocator struct {
	allocator *alloc.Allocator
	heldCalls map[string]chan struct{}
}

func newAllocators(clock clockwork.Clock) *allocators {
	return &allocators{clock: clock, configs: map[string]alloc.ServiceConfig{}, services: map[string]*serviceAllocator{}}
}

// configure replaces the configuration of all services.
func (a *allocators) configure(configs map[string]alloc.ServiceConfig) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configs = configs
	for name, s := range a.services {
		s.allocator.Configure(configs[name])
	}
}

// service returns the allocator of a service, which it creates on first use.
func (a *allocators) service(name string) *serviceAllocator {
	s := a.services[name]
	if s == nil {
		s = &serviceAllocator{allocator: alloc.New(), heldCalls: map[string]chan struct{}{}}
		s.allocator.Configure(a.configs[name])
		a.services[name] = s
	}
	return s
}

// handleReport processes a report and returns the seat's allocation. If the allocation has not changed, the reply waits for a change for at most hold.
func (a *allocators) handleReport(r alloc.Report, hold time.Duration) alloc.Allocation {
	a.mu.Lock()
	s := a.service(r.Service)
	// A seat has at most one held call, so a new report ends the wait of the earlier call.
	s.wake(r.Seat)
	allocation := s.allocator.HandleReport(r, a.clock.Now())
	for _, seat := range s.allocator.SeatsToUpdate(r.Seat, a.clock.Now()) {
		s.wake(seat)
	}
	if hold <= 0 || !allocation.Same {
		a.mu.Unlock()
		return allocation
	}
	changed := make(chan struct{})
	s.heldCalls[r.Seat] = changed
	a.mu.Unlock()
	select {
	case <-changed:
	case <-a.clock.After(hold):
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.heldCalls[r.Seat] == changed {
		delete(s.heldCalls, r.Seat)
	}
	if newer, ok := s.allocator.Refresh(r.Seat, a.clock.Now()); ok {
		return newer
	}
	return allocation
}

// wake lets a seat's held call return.
func (s *serviceAllocator) wake(seat string) {
	if held := s.heldCalls[seat]; held != nil {
		close(held)
		delete(s.heldCalls, seat)
	}
}
