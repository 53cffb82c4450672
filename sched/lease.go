package sched

import (
	"slices"
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Leases of targets. What a target is known to have got and what a call without an answer may have granted it are kept apart, and a call that was certainly not sent grants nothing. While calls get no answer they extend the lease no further, so that it ends at a known time however long a cut lasts.

// LeaseCall identifies a call that carries a lease, 0 if it carries none.
type LeaseCall int64

// leaseCall is a call under way that may extend a target's lease, and when that lease has certainly expired.
type leaseCall struct {
	id        LeaseCall
	expiresAt time.Duration
}

// maxLeaseCalls bounds the calls with a lease that are under way, above the renewal and the starts that a target gets at once. Earlier ones beyond it are not going to end any more.
const maxLeaseCalls = 64

// maxUnansweredExtension is by how much calls that follow an unanswered one may extend the lease beyond the last call before it. It is a fifth of a lease, so that the loss of a few answers ends no lease, and well below the 3 s within which lost work has to run again (docs/WORKPLAN.md, rule 4).
const maxUnansweredExtension = time.Second

// extendLease returns the time on the target's clock until which a lease holds that is sent now, or 0 while its clock is unknown, and notes the call with the time at which that lease has certainly expired.
func (t *target) extendLease(now time.Duration) (int64, LeaseCall) {
	if t.clockAt == 0 {
		return 0, 0
	}
	at := now
	if t.leaseUnconfirmed {
		at = max(min(now, t.leaseAskedAt+maxUnansweredExtension), t.clockAt)
	} else {
		t.leaseAskedAt = now
	}
	elapsed := time.Duration(float64(at-t.clockAt) * minClockRate)
	until := t.clockMs + (elapsed + leaseDuration).Milliseconds()
	// The clock showed clockMs at clockAt or earlier, and has run at the slowest rate since.
	expires := t.clockAt + time.Duration(float64(until-t.clockMs)/minClockRate)*time.Millisecond + leaseMargin
	t.lastLeaseCall++
	t.leaseCalls = append(t.leaseCalls, leaseCall{id: t.lastLeaseCall, expiresAt: expires})
	if len(t.leaseCalls) > maxLeaseCalls {
		t.endLeaseCall(t.leaseCalls[0].id, false)
	}
	return until, t.lastLeaseCall
}

// showsAtMost returns what the target's clock shows at most, as far as its last answer tells: the platform's clocks are slow, not fast.
func (t *target) showsAtMost(now time.Duration) int64 {
	return t.clockMs + (now - t.clockAt).Milliseconds()
}

// endLeaseCall notes that a call with a lease has ended: the target is known to have got the lease, or it may have got it.
func (t *target) endLeaseCall(id LeaseCall, granted bool) {
	n := t.findLeaseCall(id)
	switch {
	case n < 0:
		return
	case granted:
		t.leaseExpiresAt = max(t.leaseExpiresAt, t.leaseCalls[n].expiresAt)
	default:
		t.leasePossibleUntil = max(t.leasePossibleUntil, t.leaseCalls[n].expiresAt)
	}
	t.leaseCalls = slices.Delete(t.leaseCalls, n, n+1)
}

// voidLeaseCall forgets a call with a lease that was certainly not sent.
func (t *target) voidLeaseCall(id LeaseCall) {
	if n := t.findLeaseCall(id); n >= 0 {
		t.leaseCalls = slices.Delete(t.leaseCalls, n, n+1)
	}
}

func (t *target) findLeaseCall(id LeaseCall) int {
	return slices.IndexFunc(t.leaseCalls, func(c leaseCall) bool { return c.id == id })
}

// leaseEnd returns when the target has certainly ended its runs unless its lease is renewed, 0 if that is not known.
func (t *target) leaseEnd() time.Duration {
	end := max(t.leaseExpiresAt, t.leasePossibleUntil)
	for _, c := range t.leaseCalls {
		end = max(end, c.expiresAt)
	}
	return end
}

// LeaseGranted records that the target has answered a call with a lease and carried it out.
func (t *Table) LeaseGranted(id work.TargetID, call LeaseCall) {
	if tgt, ok := t.targets[id]; ok {
		tgt.endLeaseCall(call, true)
	}
}

// LeaseUnanswered records that a call with a lease got no answer, or was refused, and may have granted the lease.
func (t *Table) LeaseUnanswered(id work.TargetID, call LeaseCall) {
	if tgt, ok := t.targets[id]; ok {
		tgt.endLeaseCall(call, false)
	}
}

// LeaseUnsent records that a call with a lease was certainly not sent, so that it has granted nothing and will not.
func (t *Table) LeaseUnsent(id work.TargetID, call LeaseCall) {
	if tgt, ok := t.targets[id]; ok {
		tgt.voidLeaseCall(call)
	}
}

// lapseTime returns how long it takes at most until a target has ended its runs whose lease ends after the given time on its clock, which is up to 2% slow.
func lapseTime(lease time.Duration) time.Duration { return lease + lease/40 + leaseMargin }

// longestLease returns for how long a target may keep running that has just answered its first renewal by this holder, with the given clock. That is one lease. But if this holder called a former incarnation, whose clock was ahead, calls with leases by that clock may have reached the present one, which grants them up to its longest lease.
func (t *Table) longestLease(tgt *target, clockMs int64) time.Duration {
	if tgt.restarted && time.Duration(clockMs)*time.Millisecond < maxOrderDelay {
		return lapseTime(max(leaseDuration, t.bounds.MaxLease))
	}
	return lapseTime(leaseDuration)
}
