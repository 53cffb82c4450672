package elect

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Claim is the record that makes a process the holder; its offset determines the epoch.
type Claim struct {
	_       struct{} `cbor:",toarray"`
	Node    string
	Address string
	// Boot identifies one run of the node's process.
	Boot string
}

// Holder is a claim and its epoch.
type Holder struct {
	Claim
	Epoch int64
}

// Epoch returns the epoch of a claim at an offset; epochs start at 1, because 0 means no fencing token.
func Epoch(offset int64) int64 { return offset + 1 }

// Decode decodes the record of a claim at an offset and returns the holder with its epoch.
func Decode(value []byte, offset int64) (Holder, error) {
	var c Claim
	if err := work.Decode(value, &c); err != nil {
		return Holder{}, err
	}
	return Holder{Claim: c, Epoch: Epoch(offset)}, nil
}

// Timeouts and intervals by which followers detect a failed holder and claim.
const (
	// HeartbeatInterval is how often a follower sends a heartbeat to the holder; the replies carry new configurations.
	HeartbeatInterval = 200 * time.Millisecond
	// CallTimeout bounds a heartbeat or another short call to a process.
	CallTimeout = 300 * time.Millisecond
	// HolderTimeout is how long a holder may go unheard before another process claims: three heartbeat intervals and most of the timeout of the next heartbeat.
	HolderTimeout = 800 * time.Millisecond
	// MaxHeardAge is the age up to which a peer's last reply from the holder keeps others from claiming.
	MaxHeardAge = 500 * time.Millisecond
	// CannotWriteTimeout is how long this process must have reached the store before it replaces a holder that cannot write to it: two heartbeats, in which a holder can report that it writes again after an outage of the store.
	CannotWriteTimeout = 500 * time.Millisecond
	// RefusedTimeout is how long a holder's address must have refused connections before another process claims; the holder is most likely dead, but a reply of it may still be on its way.
	RefusedTimeout = 100 * time.Millisecond
	// IsolationTimeout is how long a process that gets no answer from any other waits before it claims; others that hear each other claim earlier.
	IsolationTimeout = 2500 * time.Millisecond
	// StoreRecoveryGrace is how long this process waits after it reaches the store again before it replaces a holder that it does not hear: two heartbeats, because this process may have been the partitioned one.
	StoreRecoveryGrace = 500 * time.Millisecond
	// ClaimStagger is the delay between the claims of successive ranks, a little more than a claim takes.
	ClaimStagger = 60 * time.Millisecond
)

const (
	// churnWindow is the time within which a further change of the holder lengthens the timeout, because holders that are replaced so soon are slow rather than dead.
	churnWindow = 6 * time.Second
	// maxTimeoutExtensions bounds how many times HolderTimeout is added to the timeout.
	maxTimeoutExtensions = 2
)

// fastCheckWindow is how long followers send heartbeats more often after a refused connection, long enough for a few staggered claims. It is short because a network partition that refuses connections may last much longer.
const fastCheckWindow = 500 * time.Millisecond

// holderTimeout is how long the holder may go unheard; it grows with each change of the holder within churnWindow.
func (d *FailureDetector) holderTimeout() time.Duration {
	return HolderTimeout + time.Duration(min(d.recentChanges, maxTimeoutExtensions))*HolderTimeout
}

// FailureDetector is a follower's view of the holder: whether it is alive, and when this process should claim the next epoch.
type FailureDetector struct {
	holder Holder
	known  bool
	// heardAt is when the holder last answered a heartbeat, or when this process learned of it.
	heardAt time.Duration
	// cannotWrite means that the holder says that it cannot write to the store.
	cannotWrite bool
	// vacant means that the holder resigned or is certainly no longer the holder.
	vacant bool
	// claimableAt is from when a vacancy may be claimed.
	claimableAt time.Duration
	// reachedStoreAt is when this process first reached the store while the holder could not write to it, 0 if this is not so.
	reachedStoreAt time.Duration
	createdAt      time.Duration
	// refusedAt is when the holder's address first refused a connection after the holder was last heard, 0 if it has not.
	refusedAt time.Duration
	// regainedAt is when this process last reached the store again after failures, 0 if it never lost it.
	regainedAt time.Duration
	// changedAt is when the holder last changed without a resignation, and recentChanges how many such changes followed each other within churnWindow.
	changedAt     time.Duration
	recentChanges int
}

// NewFailureDetector returns a detector that knows no holder yet.
func NewFailureDetector(now time.Duration) *FailureDetector { return &FailureDetector{createdAt: now} }

// Follow records a new holder, unless its epoch or a later one is known already, and reports whether it is new.
func (d *FailureDetector) Follow(h Holder, now time.Duration) bool {
	if d.known && h.Epoch <= d.holder.Epoch {
		return false
	}
	// A holder that resigned was not slow.
	if !d.vacant {
		if d.known && now-d.changedAt < churnWindow {
			d.recentChanges++
		} else {
			d.recentChanges = 0
		}
		d.changedAt = now
	}
	d.holder, d.known = h, true
	d.heardAt, d.refusedAt, d.vacant = now, 0, false
	d.cannotWrite, d.reachedStoreAt = false, 0
	return true
}

// Holder returns the current holder, if one is known.
func (d *FailureDetector) Holder() (Holder, bool) { return d.holder, d.known }

// RecordHeartbeat records a heartbeat reply of the holder of the epoch and whether the holder cannot write to the store.
func (d *FailureDetector) RecordHeartbeat(epoch int64, cannotWrite bool, now time.Duration) {
	if !d.known || epoch != d.holder.Epoch {
		return
	}
	d.heardAt, d.refusedAt = now, 0
	if !cannotWrite {
		d.reachedStoreAt = 0
	}
	d.cannotWrite = cannotWrite
	d.setVacant(false, now)
}

// RecordStoreRead records that this process reached the store; a holder that still cannot write to it should be replaced.
func (d *FailureDetector) RecordStoreRead(now time.Duration) {
	if d.cannotWrite && d.reachedStoreAt == 0 {
		d.reachedStoreAt = now
	}
}

// RecordRefusal records that the address of the holder of the epoch refused a connection.
func (d *FailureDetector) RecordRefusal(epoch int64, now time.Duration) {
	if d.known && epoch == d.holder.Epoch && d.refusedAt == 0 {
		d.refusedAt = now
	}
}

// NextHeartbeatIn returns how long to wait before the next heartbeat; it is shorter for a while after the holder's address refused a connection.
func (d *FailureDetector) NextHeartbeatIn(now time.Duration) time.Duration {
	if d.refusedAt > 0 && now-d.refusedAt < fastCheckWindow {
		return ClaimStagger
	}
	return HeartbeatInterval
}

// Silence returns the time since the holder was last heard.
func (d *FailureDetector) Silence(now time.Duration) time.Duration { return now - d.heardAt }

// RecordStoreRecovery records that this process reaches the store again after failures.
func (d *FailureDetector) RecordStoreRecovery(now time.Duration) { d.regainedAt = now }

// HolderCannotWrite reports whether the holder says that it cannot write to the store.
func (d *FailureDetector) HolderCannotWrite() bool { return d.known && d.cannotWrite }

// RecordVacancy records that the process with the epoch is no longer the holder, and from when the next epoch may be claimed; only the first call for a vacancy counts.
func (d *FailureDetector) RecordVacancy(epoch int64, claimableAt time.Duration) {
	if d.known && epoch == d.holder.Epoch {
		d.setVacant(true, claimableAt)
	}
}

func (d *FailureDetector) setVacant(vacant bool, claimableAt time.Duration) {
	if vacant && !d.vacant {
		d.claimableAt = claimableAt
	}
	d.vacant = vacant
}

// IsVacant reports whether no holder is known or the last known one is no longer the holder.
func (d *FailureDetector) IsVacant() bool { return !d.known || d.vacant }

// HeardAgo returns how long ago the holder of the epoch was heard, and false if that is unknown or the holder seems to be gone.
func (d *FailureDetector) HeardAgo(epoch int64, now time.Duration) (time.Duration, bool) {
	if !d.known || d.holder.Epoch != epoch || d.vacant || d.refusedAt > 0 {
		return 0, false
	}
	return now - d.heardAt, true
}

// Alive reports whether the holder is known, was heard within its timeout, and has neither resigned nor refused a connection since.
func (d *FailureDetector) Alive(now time.Duration) bool {
	return d.known && !d.vacant && d.refusedAt == 0 && now-d.heardAt < d.holderTimeout()
}

// ShouldClaim reports whether a process of the given rank should try to become the holder; each rank waits ClaimStagger longer than the one before.
func (d *FailureDetector) ShouldClaim(rank int, now time.Duration) bool {
	stagger := time.Duration(rank) * ClaimStagger
	switch {
	case !d.known:
		return now-d.createdAt >= stagger
	case d.vacant:
		return now-d.claimableAt >= stagger
	case d.cannotWrite && d.reachedStoreAt > 0:
		return now-d.reachedStoreAt >= CannotWriteTimeout+stagger
	case d.regainedAt > 0 && now-d.regainedAt < StoreRecoveryGrace:
		return false
	case d.refusedAt > 0:
		return now-d.refusedAt >= RefusedTimeout+stagger
	default:
		return now-d.heardAt >= d.holderTimeout()+stagger
	}
}
