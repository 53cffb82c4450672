package event

import (
	"sync"

	"github.com/jonboulle/clockwork"
)

const defaultKeep = 4096

// Line is a bounded ring of the newest events of one process.
type Line struct {
	clock clockwork.Clock
	base  Event

	mu     sync.Mutex
	offset func() int64
	ring   []Event
	next   int
	total  int64
	keep   int
}

// Option changes how a Line is built.
type Option func(*Line)

// WithClock replaces the real clock.
func WithClock(c clockwork.Clock) Option { return func(l *Line) { l.clock = c } }

// WithKeep sets how many events are kept.
func WithKeep(n int) Option { return func(l *Line) { l.keep = n } }

// New returns the line of one process, whose name, zone and incarnation stand in each event.
func New(process, zone, incarnation string, opts ...Option) *Line {
	l := &Line{
		clock:  clockwork.NewRealClock(),
		base:   Event{Process: process, Zone: zone, Incarnation: incarnation},
		offset: func() int64 { return 0 },
		keep:   defaultKeep,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// SetOffset tells the line how to learn the log offset that is folded.
func (l *Line) SetOffset(f func() int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.offset = f
}

// Add records that something happened to the subject because of the cause.
func (l *Line) Add(kind, subject, cause, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.base
	e.TimeMs = l.clock.Now().UnixMilli()
	e.Offset = l.offset()
	e.Kind = kind
	e.Subject = subject
	e.Cause = cause
	e.Detail = detail
	l.total++
	if len(l.ring) < l.keep {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % l.keep
}

// Total returns how many events were ever added.
func (l *Line) Total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// About returns the kept events in order, only those of the subject or cause unless about is empty.
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
