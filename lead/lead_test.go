package lead

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func watching(now time.Duration) *FailureDetector {
	w := NewFailureDetector(0)
	w.Follow(Holder{Claim: Claim{Node: "a", Address: "1"}, Epoch: 3}, now)
	return w
}

func TestNoClaimWhileTheHolderIsHeard(t *testing.T) {
	is := is.New(t)
	w := watching(time.Second)
	is.True(!w.ShouldClaim(0, time.Second+HolderTimeout-1))
	is.True(w.ShouldClaim(0, time.Second+HolderTimeout))
	is.True(!w.ShouldClaim(2, time.Second+HolderTimeout+ClaimStagger))
	w.RecordHeartbeat(3, false, 2*time.Second)
	is.True(!w.ShouldClaim(0, 2*time.Second+HolderTimeout-1))
	w.RecordHeartbeat(2, false, 4*time.Second) // an earlier holder's answer is no sign of the present one
	is.True(w.ShouldClaim(0, 4*time.Second))
}

func TestAVacantPlaceIsClaimedInTurn(t *testing.T) {
	is := is.New(t)
	w := watching(2 * time.Second)
	w.RecordVacancy(2, 2*time.Second)
	is.True(!w.ShouldClaim(0, 2*time.Second))
	w.RecordVacancy(3, 2*time.Second)
	is.True(w.ShouldClaim(0, 2*time.Second))
	is.True(!w.ShouldClaim(1, 2*time.Second))
	is.True(w.ShouldClaim(1, 2*time.Second+ClaimStagger))
	is.True(w.Follow(Holder{Epoch: 4}, 3*time.Second))
	is.True(!w.ShouldClaim(0, 3*time.Second))
	is.True(!w.Follow(Holder{Epoch: 3}, 3*time.Second)) // never backwards
}

func TestTheReturnOfTheStoreDoesNotChangeTheHolder(t *testing.T) {
	is := is.New(t)
	w := watching(time.Second)
	w.RecordHeartbeat(3, true, 2*time.Second) // the store is down for all
	is.True(!w.ShouldClaim(0, 2*time.Second+100*time.Millisecond))
	w.RecordStoreReached(7 * time.Second) // it is back, and this process sees it first
	w.RecordHeartbeat(3, true, 7*time.Second)
	is.True(!w.ShouldClaim(0, 7*time.Second+CannotWriteTimeout/2))
	w.RecordHeartbeat(3, false, 7*time.Second+CannotWriteTimeout/2)
	is.True(!w.ShouldClaim(0, 7*time.Second+CannotWriteTimeout))
}

func TestAHolderThatTheStoreTurnsAwayAloneIsReplaced(t *testing.T) {
	is := is.New(t)
	w := watching(time.Second)
	w.RecordHeartbeat(3, true, 2*time.Second)
	w.RecordStoreReached(2 * time.Second)
	w.RecordHeartbeat(3, true, 2*time.Second+CannotWriteTimeout)
	is.True(w.ShouldClaim(0, 2*time.Second+CannotWriteTimeout))
	is.True(!w.ShouldClaim(3, 2*time.Second+CannotWriteTimeout))
}

func TestRepeatedWordOfAVacantPlaceDelaysNoClaim(t *testing.T) {
	is := is.New(t)
	w := watching(time.Second)
	for at := 2 * time.Second; at < 3*time.Second; at += 50 * time.Millisecond {
		w.RecordVacancy(3, at)
	}
	is.True(w.ShouldClaim(7, 2*time.Second+7*ClaimStagger))
}

func TestAPlaceIsLeftToTheHeirFirst(t *testing.T) {
	is := is.New(t)
	w := watching(2 * time.Second)
	w.RecordVacancy(3, 2*time.Second+500*time.Millisecond)
	w.RecordVacancy(3, 2*time.Second)
	is.True(!w.ShouldClaim(0, 2*time.Second+400*time.Millisecond))
	is.True(w.ShouldClaim(0, 2*time.Second+500*time.Millisecond))
}

func TestHoldersThatChangeInQuickSuccessionGetMoreTime(t *testing.T) {
	is := is.New(t)
	w := watching(10 * time.Second)
	w.Follow(Holder{Epoch: 4}, 12*time.Second)
	is.True(!w.ShouldClaim(0, 12*time.Second+HolderTimeout))
	is.True(w.ShouldClaim(0, 12*time.Second+2*HolderTimeout))
	w.Follow(Holder{Epoch: 5}, 30*time.Second) // calm before
	is.True(w.ShouldClaim(0, 30*time.Second+HolderTimeout))
}

// TestAProcessThatWasCutOffHearsTheHolderFirst checks that a process does not take a living holder's place as soon as its own cut ends.
func TestAProcessThatWasCutOffHearsTheHolderFirst(t *testing.T) {
	is := is.New(t)
	w := watching(time.Second)
	w.RecordStoreRegained(6 * time.Second)
	is.True(!w.ShouldClaim(0, 6*time.Second))
	is.True(!w.ShouldClaim(0, 6*time.Second+StoreRegainedGrace-1))
	is.True(w.ShouldClaim(0, 6*time.Second+StoreRegainedGrace))
	w.RecordVacancy(3, 6*time.Second)
	is.True(w.ShouldClaim(0, 6*time.Second)) // the holder's own word needs no patience
}

// TestAPlaceThatWasGivenUpIsNoChurn checks that patience does not grow when holders stop gracefully.
func TestAPlaceThatWasGivenUpIsNoChurn(t *testing.T) {
	is := is.New(t)
	w := watching(10 * time.Second)
	w.RecordVacancy(3, 11*time.Second)
	is.True(w.Follow(Holder{Epoch: 4}, 11*time.Second))
	is.True(w.ShouldClaim(0, 11*time.Second+HolderTimeout)) // as patient as before
	is.True(w.Follow(Holder{Epoch: 5}, 12*time.Second))
	is.True(!w.ShouldClaim(0, 12*time.Second+HolderTimeout)) // a silent holder was replaced in quick succession
	is.True(w.ShouldClaim(0, 12*time.Second+2*HolderTimeout))
}

// TestADeadHolderIsReplacedSooner checks that a refused connection shortens the wait, until the holder is heard again.
func TestADeadHolderIsReplacedSooner(t *testing.T) {
	is := is.New(t)
	w := watching(time.Second)
	w.RecordRefusal(2, time.Second) // an earlier holder's address
	is.True(w.Alive(time.Second))
	is.Equal(w.NextHeartbeatIn(time.Second), HeartbeatInterval)
	w.RecordRefusal(3, time.Second)
	is.True(!w.Alive(time.Second))
	is.Equal(w.NextHeartbeatIn(time.Second), ClaimStagger)
	is.Equal(w.NextHeartbeatIn(2*time.Second), HeartbeatInterval)
	is.True(!w.ShouldClaim(0, time.Second+RefusedTimeout-1))
	is.True(w.ShouldClaim(0, time.Second+RefusedTimeout))
	is.True(!w.ShouldClaim(1, time.Second+RefusedTimeout))
	_, seen := w.HeardAgo(3, time.Second)
	is.True(!seen) // is no sight of it for others
	w.RecordHeartbeat(3, false, time.Second)
	is.True(w.Alive(time.Second))
	is.True(!w.ShouldClaim(0, time.Second+RefusedTimeout))
}
