package event

import (
	"sync"

	"github.com/jonboulle/clockwork"
)

// defaultCapacity is the number of events that are kept by default.
const defaultCapacity = 4096

// Recorder is a ring buffer of the newest events of one process.
type Recorder struct {
	clock    clockwork.Clock
	template Event

	mu            sync.Mutex
	appliedOffset func() int64
	ring          []Event
	next          int
	total         int64
	capacity      int
}

// Option configures a Recorder.
type Option func(*Recorder)

// WithClock sets the clock, which is the real one by default.
func WithClock(c clockwork.Clock) Option { return func(r *Recorder) { r.clock = c } }

// WithCapacity sets how many events are kept.
func WithCapacity(n int) Option { return func(r *Recorder) { r.capacity = n } }

// NewRecorder returns an empty recorder for one process, whose name, zone and incarnation are set in each event.
func NewRecorder(process, zone, incarnation string, opts ...Option) *Recorder {
	r := &Recorder{
		clock:         clockwork.NewRealClock(),
		template:      Event{Process: process, Zone: zone, Incarnation: incarnation},
		appliedOffset: func() int64 { return 0 },
		capacity:      defaultCapacity,
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// SetOffsetFunc sets the function that returns the last applied log offset.
func (r *Recorder) SetOffsetFunc(f func() int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appliedOffset = f
}

// Add records an event of the given kind, with the current time and log offset.
func (r *Recorder) Add(kind, subject, cause, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.template
	e.TimeMs = r.clock.Now().UnixMilli()
	e.Offset = r.appliedOffset()
	e.Kind = kind
	e.Subject = subject
	e.Cause = cause
	e.Detail = detail
	r.total++
	if len(r.ring) < r.capacity {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % r.capacity
}

// Total returns how many events were added, including those that are no longer kept.
func (r *Recorder) Total() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// EventsAbout returns the kept events, oldest first; if about is not empty, it returns only those that have it as subject or cause.
func (r *Recorder) EventsAbout(about string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	for i := range r.ring {
		e := r.ring[(r.next+i)%len(r.ring)]
		if about == "" || e.Subject == about || e.Cause == about {
			found = append(found, e)
		}
	}
	return found
}
