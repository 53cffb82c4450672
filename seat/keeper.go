package seat

import (
	"errors"
	"time"

	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/record"
)

// driftPercent is the most that the rates of two clocks may differ.
const driftPercent = 1

// reclaimMargin is added to a lease and the longest run before its units are given to others.
const reclaimMargin = time.Second

// renewals is how often a lease is renewed within its length.
const renewals = 3

// Identity says where an entry process is.
type Identity struct {
	Seat    string
	Zone    string
	Address string
}

// Session holds one entry process's lease and units; its methods must not run at the same time.
type Session struct {
	place       Identity
	length      time.Duration
	incarnation string
	renew       func() string

	joinedAt time.Time
	until    time.Time
	next     time.Time
	busy     bool
	watch    map[string]watched
	units    map[string]*units
}

// New returns the keeper of a process that has not joined, with the lease's length and a source of incarnations.
func New(place Identity, length time.Duration, incarnation string, renew func() string) *Session {
	return &Session{
		place:       place,
		length:      length,
		incarnation: incarnation,
		renew:       renew,
		watch:       map[string]watched{},
		units:       map[string]*units{},
	}
}

// Incarnation returns the incarnation that holds or will hold the seat.
func (k *Session) Incarnation() string { return k.incarnation }

// LeaseValid reports whether the lease covers the time.
func (k *Session) LeaseValid(now time.Time) bool { return now.Before(k.until) }

// LeaseRecord returns the join or renewal that is due, and nil when none is.
func (k *Session) LeaseRecord(t fold.Tables, now time.Time) record.Record {
	if k.busy || now.Before(k.next) {
		return nil
	}
	k.busy = true
	m, ok := t.Member(k.place.Seat)
	if ok && m.Live && m.Incarnation == k.incarnation {
		return record.Renew{Seat: k.place.Seat, Incarnation: k.incarnation}
	}
	if !k.joinedAt.IsZero() {
		k.incarnation = k.renew()
	}
	k.joinedAt = now
	k.until = time.Time{}
	return record.Join{Seat: k.place.Seat, Incarnation: k.incarnation, Zone: k.place.Zone, Address: k.place.Address}
}

// LeaseRecordDone ends a join or renewal that was submitted at the given time; the lease counts from then, because the log may have taken the record at any later time.
func (k *Session) LeaseRecordDone(sent time.Time, err error) {
	k.busy = false
	k.next = sent.Add(k.length / renewals)
	if err == nil {
		k.until = sent.Add(k.length - k.length*driftPercent/100)
		return
	}
	var member *fold.StaleIncarnationError
	if errors.As(err, &member) {
		k.until = time.Time{}
		k.next = time.Time{}
	}
}

// LeaveRecord returns the record that ends the incarnation, and nil while an earlier one may still be using the units that would be freed.
func (k *Session) LeaveRecord(longestRun time.Duration, now time.Time) record.Record {
	if k.quarantined(longestRun, now) && k.inherited() {
		return nil
	}
	return record.Leave{Seat: k.place.Seat, Incarnation: k.incarnation}
}

func (k *Session) inherited() bool {
	for _, u := range k.units {
		if u.hold.Inherited > 0 {
			return true
		}
	}
	return false
}

// reclaimAfter is how long after a lease's last renewal none of its work can be running.
func (k *Session) reclaimAfter(longestRun time.Duration) time.Duration {
	wait := k.length + longestRun + reclaimMargin
	return wait + wait*driftPercent/100
}

// quarantined reports whether inherited units may still be in use by an earlier incarnation.
func (k *Session) quarantined(longestRun time.Duration, now time.Time) bool {
	return now.Before(k.joinedAt.Add(k.reclaimAfter(longestRun)))
}
