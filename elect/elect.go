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
	// Boot identifies one run of the process, from its start to its end. A process finds its own claim by it, also if the response to the claim was lost.
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
	// HeartbeatInterval is how often a follower sends a heartbeat to the holder; the replies also carry new configurations.
	HeartbeatInterval = 200 * time.Millisecond
	// CallTimeout bounds a heartbeat or another short call to another process.
	CallTimeout = 300 * time.Millisecond
	// HolderTimeout is how long the holder may fail to reply to heartbeats before another process claims: three heartbeat intervals and most of the timeout of the next heartbeat.
	HolderTimeout = 800 * time.Millisecond
	// MaxHeardAge is how recently a probed process must have heard the holder for its reply to prevent a claim.
	MaxHeardAge = 500 * time.Millisecond
	// CannotWriteTimeout is how long this process must have reached the store before it replaces a holder that cannot write to it. Two heartbeats fit into this time; after an outage of the store, the holder can report with them that it writes again.
	CannotWriteTimeout = 500 * time.Millisecond
	// RefusedTimeout is how long a holder's address must have refused connections before another process claims. Such a holder is most likely dead, but a heartbeat reply that it sent before may still arrive.
	RefusedTimeout = 100 * time.Millisecond
	// IsolationTimeout is how long the holder must have been unheard before a process claims whose probes no other process answered. It is long, so that processes that reach each other claim first.
	IsolationTimeout = 2500 * time.Millisecond
	// StoreRecoveryGrace is how long this process waits after it reaches the store again before it replaces a holder that it does not hear. Two heartbeats fit into this time: this process may have been the partitioned one, and the holder may still be alive.
	StoreRecoveryGrace = 500 * time.Millisecond
	// ClaimStagger is the delay between the claims of successive ranks, a little more than a claim takes. A process's rank is its place in the order of claims, from 0.
	ClaimStagger = 60 * time.Millisecond
)

const (
	// churnWindow is the time within which a further change of the holder lengthens the timeout. Holders that are replaced so soon after each other are slow rather than dead.
	churnWindow = 6 * time.Second
	// maxTimeoutExtensions bounds how many times HolderTimeout is added to the timeout.
	maxTimeoutExtensions = 2
)

// fastHeartbeatWindow is how long followers send heartbeats at ClaimStagger instead of HeartbeatInterval after a refused connection, long enough for a few staggered claims. It is short because a network partition that refuses connections may last much longer.
const fastHeartbeatWindow = 500 * time.Millisecond

// holderTimeout is how long the holder may be unheard before another process claims. It grows with each change of the holder within churnWindow, and is back at HolderTimeout once the last change is older.
func (d *FailureDetector) holderTimeout(now time.Duration) time.Duration {
	if now-d.changedAt >= churnWindow {
		return HolderTimeout
	}
	return HolderTimeout + time.Duration(min(d.recentChanges, maxTimeoutExtensions))*HolderTimeout
}

// FailureDetector is a follower's view of the holder: whether it is alive, and when this process should claim the next epoch.
type FailureDetector struct {
	holder Holder
	known  bool
	// heardAt is when the holder last answered a heartbeat, or when this process learned of it.
	heardAt time.Duration
	// answered means that the holder has answered this process, which otherwise knows of it from the store or from others.
	answered bool
	// cannotWrite means that the holder says that it cannot write to the store.
	cannotWrite bool
	// vacant means that the holder resigned or is certainly no longer the holder.
	vacant bool
	// claimableAt is the time from which the next epoch may be claimed while vacant is set; a named successor's head start is part of it.
	claimableAt time.Duration
	// storeReadAt is when this process first reached the store after the holder reported that it cannot write to it. It is 0 while the holder can write, or until this process reaches the store.
	storeReadAt time.Duration
	createdAt   time.Duration
	// refusedAt is when the holder's address first refused a connection after the holder was last heard, 0 if it has not.
	refusedAt time.Duration
	// recoveredAt is when this process last reached the store again after failed calls, 0 if its calls have not failed.
	recoveredAt time.Duration
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
	// A holder that resigned, or that is certainly no longer the holder, was not slow; its replacement does not lengthen the timeout.
	if !d.vacant {
		if d.known && now-d.changedAt < churnWindow {
			d.recentChanges++
		} else {
			d.recentChanges = 0
		}
		d.changedAt = now
	}
	d.holder, d.known = h, true
	d.heardAt, d.refusedAt, d.vacant, d.answered = now, 0, false, false
	d.cannotWrite, d.storeReadAt = false, 0
	return true
}

// Holder returns the current holder, if one is known.
func (d *FailureDetector) Holder() (Holder, bool) { return d.holder, d.known }

// RecordHeartbeat records a heartbeat reply of the holder of the epoch and whether the holder cannot write to the store.
func (d *FailureDetector) RecordHeartbeat(epoch int64, cannotWrite bool, now time.Duration) {
	if !d.known || epoch != d.holder.Epoch {
		return
	}
	d.heardAt, d.refusedAt, d.answered = now, 0, true
	if !cannotWrite {
		d.storeReadAt = 0
	}
	d.cannotWrite = cannotWrite
	d.setVacant(false, now)
}

// RecordStoreRead records a successful read of the store. If the holder cannot write to the store although this process reads from it, the holder should be replaced after CannotWriteTimeout.
func (d *FailureDetector) RecordStoreRead(now time.Duration) {
	if d.cannotWrite && d.storeReadAt == 0 {
		d.storeReadAt = now
	}
}

// RecordRefusal records that the address of the holder of the epoch refused a connection.
func (d *FailureDetector) RecordRefusal(epoch int64, now time.Duration) {
	if d.known && epoch == d.holder.Epoch && d.refusedAt == 0 {
		d.refusedAt = now
	}
}

// NextHeartbeatIn returns how long to wait before the next heartbeat. The wait is shorter for fastHeartbeatWindow after the holder's address refused a connection.
func (d *FailureDetector) NextHeartbeatIn(now time.Duration) time.Duration {
	if d.refusedAt > 0 && now-d.refusedAt < fastHeartbeatWindow {
		return ClaimStagger
	}
	return HeartbeatInterval
}

// Silence returns how long ago the current holder was last heard.
func (d *FailureDetector) Silence(now time.Duration) time.Duration { return now - d.heardAt }

// RecordStoreRecovery records the first successful call to the store after failed ones, which starts StoreRecoveryGrace.
func (d *FailureDetector) RecordStoreRecovery(now time.Duration) { d.recoveredAt = now }

// HolderCannotWrite reports whether the holder says that it cannot write to the store.
func (d *FailureDetector) HolderCannotWrite() bool { return d.known && d.cannotWrite }

// RecordVacancy records that the holder of the epoch is no longer the holder, and from when the next epoch may be claimed. Further calls for the same vacancy change nothing.
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

// HeardAgo returns how long ago the holder of the epoch was heard, and false if this process follows another holder, has just started and not heard it yet, or if the holder seems to be gone.
func (d *FailureDetector) HeardAgo(epoch int64, now time.Duration) (time.Duration, bool) {
	if !d.known || (!d.answered && now-d.createdAt < startupTime) || d.holder.Epoch != epoch || d.vacant || d.refusedAt > 0 {
		return 0, false
	}
	return now - d.heardAt, true
}

// startupTime is how long a process knows the holder from the store only. Later, one whose replies are slow counts as heard when this process learns of it.
const startupTime = time.Second

// Alive reports whether a holder is known that was heard within its timeout and since then has neither resigned nor refused a connection.
func (d *FailureDetector) Alive(now time.Duration) bool {
	return d.known && !d.vacant && d.refusedAt == 0 && now-d.heardAt < d.holderTimeout(now)
}

// ShouldClaim reports whether a process of the given rank should claim the next epoch. Each rank waits ClaimStagger longer than the one before, so that claims do not collide.
func (d *FailureDetector) ShouldClaim(rank int, now time.Duration) bool {
	stagger := time.Duration(rank) * ClaimStagger
	switch {
	case !d.known:
		return now-d.createdAt >= stagger
	case d.vacant:
		return now-d.claimableAt >= stagger
	case d.cannotWrite && d.storeReadAt > 0:
		return now-d.storeReadAt >= CannotWriteTimeout+stagger
	case d.recoveredAt > 0 && now-d.recoveredAt < StoreRecoveryGrace:
		return false
	case d.refusedAt > 0:
		return now-d.refusedAt >= RefusedTimeout+stagger
	default:
		return now-d.heardAt >= d.holderTimeout(now)+stagger
	}
}
