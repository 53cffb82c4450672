package entry

import (
	"errors"
	"sync"
	"time"

	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/record"
)

// driftPercent is the most that the rates of two clocks may differ.
const driftPercent = 1

// reclaimMargin is added to a lease and the longest run before its units are given to others.
const reclaimMargin = time.Second

// lease is this process's right to spend elastic units, counted on its own clock from before each renewal was sent.
type lease struct {
	mu    sync.Mutex
	until time.Time
	busy  bool
	next  time.Time
}

func (l *lease) valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until)
}

// due reports whether a renewal should be sent now, and marks it as under way.
func (l *lease) due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy || now.Before(l.next) {
		return false
	}
	l.busy = true
	return true
}

// renewed ends a renewal that was sent at the given time.
func (l *lease) renewed(sent time.Time, length time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = false
	l.next = sent.Add(length / 3)
	if ok {
		l.until = sent.Add(length - length*driftPercent/100)
	}
}

// keepLease joins when this incarnation holds no seat, and renews the lease otherwise.
func (n *Node) keepLease(now time.Time) {
	if !n.stateTail.Whole() || !n.lease.due(now) {
		return
	}
	m, ok := n.state.Tables().Member(n.settings.Seat)
	joined := ok && m.Live && m.Incarnation == n.incarnation()
	var r record.Record = record.Renew{Seat: n.settings.Seat, Incarnation: n.incarnation()}
	if !joined {
		n.rejoin(now)
		r = record.Join{Seat: n.settings.Seat, Incarnation: n.incarnation(), Zone: n.settings.Zone, Address: n.settings.Listen}
	}
	_, err := n.writer.Submit(r, func(err error) { n.leaseAnswered(now, err) })
	if err != nil {
		n.lease.renewed(now, n.settings.Lease, false)
	}
}

func (n *Node) leaseAnswered(sent time.Time, err error) {
	n.lease.renewed(sent, n.settings.Lease, err == nil)
	var member *fold.MemberError
	if errors.As(err, &member) {
		n.line.Add(event.KindLease, n.settings.Seat, n.incarnation(), "lease was declared expired")
		n.lease.mu.Lock()
		n.lease.next = time.Time{}
		n.lease.mu.Unlock()
	}
}

// rejoin takes a new incarnation unless this one never joined.
func (n *Node) rejoin(now time.Time) {
	n.identity.Lock()
	defer n.identity.Unlock()
	if !n.joinedAt.IsZero() {
		n.incarnationID = newIncarnation()
	}
	n.joinedAt = now
}

// quarantined reports whether inherited units may still be in use by an earlier incarnation.
func (n *Node) quarantined(now time.Time) bool {
	n.identity.Lock()
	defer n.identity.Unlock()
	return now.Before(n.joinedAt.Add(n.reclaimAfter()))
}

// reclaimAfter is how long after a lease's last renewal none of its work can be running.
func (n *Node) reclaimAfter() time.Duration {
	wait := n.settings.Lease + n.view().longestRun + reclaimMargin
	return wait + wait*driftPercent/100
}

// watched is the newest renewal that this process has seen of another.
type watched struct {
	incarnation string
	renewed     int64
	since       time.Time
}

// expireOthers declares leases expired that were not renewed for longer than any of their work can run.
func (n *Node) expireOthers(now time.Time) {
	if now.Sub(n.stateTail.AtEnd()) > n.settings.Lease/3 {
		return
	}
	rank := 0
	for _, m := range n.state.Tables().Members() {
		if !m.Live {
			continue
		}
		seen, ok := n.watch[m.Seat]
		if !ok || seen.incarnation != m.Incarnation || seen.renewed != m.Renewed {
			n.watch[m.Seat] = watched{incarnation: m.Incarnation, renewed: m.Renewed, since: now}
			seen = n.watch[m.Seat]
		}
		if m.Seat == n.settings.Seat {
			continue
		}
		// Lower seats go first, so that one process usually appends for all.
		if now.Sub(seen.since) > n.reclaimAfter()+time.Duration(rank)*n.settings.Lease/3 {
			n.expire(m.Seat, m.Incarnation, m.Renewed, now)
		}
		if m.Seat < n.settings.Seat {
			rank++
		}
	}
}

func (n *Node) expire(seat, incarnation string, basis int64, now time.Time) {
	n.watch[seat] = watched{incarnation: incarnation, renewed: basis, since: now}
	r := record.Expire{Seat: seat, Incarnation: incarnation, Basis: basis}
	_, err := n.writer.Submit(r, func(err error) {
		if err == nil {
			n.line.Add(event.KindMember, seat, incarnation, "lease expired")
		}
	})
	if err != nil {
		n.log.Warn("expiry not submitted")
	}
}
