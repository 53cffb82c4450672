package lead

import (
	"time"

	"lavenderwing.example/lavenderwing/work"
)

// Claim is the record by which a process becomes the holder; its offset gives the epoch.
type Claim struct {
	_       struct{} `cbor:",toarray"`
	Node    string
	Address string
	// Boot tells the lives of one node apart.
	Boot string
}

// Holder is a claim and its epoch.
type Holder struct {
	Claim
	Epoch int64
}

// Epoch returns the epoch of a claim at an offset; epochs begin at 1, because 0 stands for no token.
func Epoch(offset int64) int64 { return offset + 1 }

// Decode reads a claim at an offset.
func Decode(value []byte, offset int64) (Holder, error) {
	var c Claim
	if err := work.Decode(value, &c); err != nil {
		return Holder{}, err
	}
	return Holder{Claim: c, Epoch: Epoch(offset)}, nil
}

// Timing of the watch over a holder.
const (
	// HeartbeatInterval is the interval of heartbeats to the holder; news of configurations travel with them.
	HeartbeatInterval = 200 * time.Millisecond
	// CallTimeout is how long a heartbeat may take.
	CallTimeout = 300 * time.Millisecond
	// HolderTimeout is how long a holder may be unheard before another process claims its place: three heartbeats and most of the wait for the next.
	HolderTimeout = 800 * time.Millisecond
	// MaxHeardAge is how recently a peer must have heard from the holder to keep others from claiming.
	MaxHeardAge = 500 * time.Millisecond
	// CannotWriteTimeout is how long this process has to reach the store while the holder does not before it claims: two heartbeats, so that the store's return does not change the holder.
	CannotWriteTimeout = 500 * time.Millisecond
	// RefusedTimeout is how long a holder's address must have refused connections before another process claims its place; it is most likely dead, but its heartbeats may just cross.
	RefusedTimeout = 100 * time.Millisecond
	// IsolationTimeout is how long a process that hears no other one leaves the place to others, which claim it before if they hear each other.
	IsolationTimeout = 2500 * time.Millisecond
	// StoreRegainedGrace is how long this process has to reach the store again before it claims the place of a holder that it does not hear: two heartbeats, since it may have been the one that was cut off.
	StoreRegainedGrace = 500 * time.Millisecond
	// ClaimStagger is the delay by which processes claim one after the other, a little more than a claim takes.
	ClaimStagger = 60 * time.Millisecond
)

const (
	// churnWindow is the time within which a further change of the holder counts as churn: then holders are slow rather than dead.
	churnWindow = 6 * time.Second
	// mostChanges bounds by how much churn lengthens the patience.
	mostChanges = 2
)

// refusedLooks is how long followers look more often after a refused connection, a few staggered claims long; a cut that refuses lasts longer.
const refusedLooks = 500 * time.Millisecond

// patience is how long the holder may be unheard; it grows with each change in quick succession.
func (w *FailureDetector) patience() time.Duration {
	return HolderTimeout + time.Duration(min(w.changes, mostChanges))*HolderTimeout
}

// FailureDetector is a follower's view of the holder.
type FailureDetector struct {
	holder Holder
	known  bool
	// heardAt is when the holder answered last.
	heardAt time.Duration
	// troubled means that the holder says that it cannot write to the store.
	troubled bool
	// vacant means that the holder said that it gives up, or is gone for certain.
	vacant   bool
	vacantAt time.Duration
	// troubledAt is when this process first reached the store while the holder said that it could not, 0 while that is not so.
	troubledAt time.Duration
	since      time.Duration
	// refusedAt is when the holder's address first refused a connection since it was heard, 0 if it has not.
	refusedAt time.Duration
	// regainedAt is when this process reached the store again, 0 if it never lost it.
	regainedAt time.Duration
	// changedAt is when the holder changed last, and changes how often it did so in quick succession.
	changedAt time.Duration
	changes   int
}

// NewFailureDetector returns a watch that knows no holder yet.
func NewFailureDetector(now time.Duration) *FailureDetector { return &FailureDetector{since: now} }

// Follow takes the holder for the present one unless a later one is known, and reports whether it is new.
func (w *FailureDetector) Follow(h Holder, now time.Duration) bool {
	if w.known && h.Epoch <= w.holder.Epoch {
		return false
	}
	// A holder that gave its place up was not slow.
	if !w.vacant {
		if w.known && now-w.changedAt < churnWindow {
			w.changes++
		} else {
			w.changes = 0
		}
		w.changedAt = now
	}
	w.holder, w.known = h, true
	w.heardAt, w.refusedAt, w.vacant = now, 0, false
	w.troubled, w.troubledAt = false, 0
	return true
}

// Holder returns the present holder.
func (w *FailureDetector) Holder() (Holder, bool) { return w.holder, w.known }

// RecordHeartbeat notes an answer of the holder; a troubled one cannot write to the store.
func (w *FailureDetector) RecordHeartbeat(epoch int64, troubled bool, now time.Duration) {
	if !w.known || epoch != w.holder.Epoch {
		return
	}
	w.heardAt, w.refusedAt = now, 0
	if !troubled {
		w.troubledAt = 0
	}
	w.troubled = troubled
	w.setVacant(false, now)
}

// RecordStoreReached notes that this process reached the store; a holder that goes on not to reach it should be replaced.
func (w *FailureDetector) RecordStoreReached(now time.Duration) {
	if w.troubled && w.troubledAt == 0 {
		w.troubledAt = now
	}
}

// RecordRefusal notes that nobody listens at the address of the holder of the epoch.
func (w *FailureDetector) RecordRefusal(epoch int64, now time.Duration) {
	if w.known && epoch == w.holder.Epoch && w.refusedAt == 0 {
		w.refusedAt = now
	}
}

// NextHeartbeatIn returns how long to wait before the next look at the holder: shorter for a while after its address refused a connection.
func (w *FailureDetector) NextHeartbeatIn(now time.Duration) time.Duration {
	if w.refusedAt > 0 && now-w.refusedAt < refusedLooks {
		return ClaimStagger
	}
	return HeartbeatInterval
}

// SinceHeard returns for how long the holder has not been heard.
func (w *FailureDetector) SinceHeard(now time.Duration) time.Duration { return now - w.heardAt }

// RecordStoreRegained notes that this process reaches the store again after it did not.
func (w *FailureDetector) RecordStoreRegained(now time.Duration) { w.regainedAt = now }

// HolderCannotWrite reports whether the holder says that it cannot write to the store.
func (w *FailureDetector) HolderCannotWrite() bool { return w.known && w.troubled }

// RecordVacancy notes that the holder of the epoch does not hold any more, and from when its place may be claimed; only the first word counts.
func (w *FailureDetector) RecordVacancy(epoch int64, now time.Duration) {
	if w.known && epoch == w.holder.Epoch {
		w.setVacant(true, now)
	}
}

func (w *FailureDetector) setVacant(vacant bool, now time.Duration) {
	if vacant && !w.vacant {
		w.vacantAt = now
	}
	w.vacant = vacant
}

// IsVacant reports whether no holder is known or the holder gave its place up.
func (w *FailureDetector) IsVacant() bool { return !w.known || w.vacant }

// HeardAgo returns how long ago the holder of the epoch was heard.
func (w *FailureDetector) HeardAgo(epoch int64, now time.Duration) (time.Duration, bool) {
	if !w.known || w.holder.Epoch != epoch || w.vacant || w.refusedAt > 0 {
		return 0, false
	}
	return now - w.heardAt, true
}

// Alive reports whether the holder was heard within the patience.
func (w *FailureDetector) Alive(now time.Duration) bool {
	return w.known && !w.vacant && w.refusedAt == 0 && now-w.heardAt < w.patience()
}

// ShouldClaim reports whether a process of the given rank should try to become the holder.
func (w *FailureDetector) ShouldClaim(rank int, now time.Duration) bool {
	stagger := time.Duration(rank) * ClaimStagger
	switch {
	case !w.known:
		return now-w.since >= stagger
	case w.vacant:
		return now-w.vacantAt >= stagger
	case w.troubled && w.troubledAt > 0:
		return now-w.troubledAt >= CannotWriteTimeout+stagger
	case w.regainedAt > 0 && now-w.regainedAt < StoreRegainedGrace:
		return false
	case w.refusedAt > 0:
		return now-w.refusedAt >= RefusedTimeout+stagger
	default:
		return now-w.heardAt >= w.patience()+stagger
	}
}
