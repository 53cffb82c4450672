package event

import (
	"sync"

	"github.com/jonboulle/clockwork"
)

const defaultCapacity = 4096

// Line is a ring buffer of the newest events of one process.
type Line struct {
	clock    clockwork.Clock
	template Event

	mu            sync.Mutex
	appliedOffset func() int64
	ring          []Event
	next          int
	total         int64
	capacity      int
}

// Option configures a Line.
type Option func(*Line)

// WithClock sets the clock, which is the real one by default.
func WithClock(c clockwork.Clock) Option { return func(l *Line) { l.clock = c } }

// WithKeep sets how many events are kept.
func WithKeep(n int) Option { return func(l *Line) { l.capacity = n } }

// New returns an empty ring for one process, whose name, zone and incarnation are set in each event.
func New(process, zone, incarnation string, opts ...Option) *Line {
	l := &Line{
		clock:         clockwork.NewRealClock(),
		template:      Event{Process: process, Zone: zone, Incarnation: incarnation},
		appliedOffset: func() int64 { return 0 },
		capacity:      defaultCapacity,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// SetOffset sets the function that returns the last applied log offset.
func (l *Line) SetOffset(f func() int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appliedOffset = f
}

// Add records an event of the given kind, with the current time and log offset.
func (l *Line) Add(kind, subject, cause, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.template
	e.TimeMs = l.clock.Now().UnixMilli()
	e.Offset = l.appliedOffset()
	e.Kind = kind
	e.Subject = subject
	e.Cause = cause
	e.Detail = detail
	l.total++
	if len(l.ring) < l.capacity {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % l.capacity
}

// Total returns how many events were added, including those that are no longer kept.
func (l *Line) Total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// About returns the kept events in order; if about is not empty, only those with it as subject or cause.
func (l *Line) About(about string) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Event
	for i := range l.ring {
		e := l.ring[(l.next+i)%len(l.ring)]
		if about == "" || e.Subject == about || e.Cause == about {
			found = append(found, e)
		}
	}
	return found
}
