package lead

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func watching(now time.Duration) *Watch {
	w := NewWatch(0)
	w.Follow(Holder{Claim: Claim{Node: "a", Address: "1"}, Epoch: 3}, now)
	return w
}

func TestNoClaimWhileTheHolderIsHeard(t *testing.T) {
	is := is.New(t)
	w := watching(time.Second)
	is.True(!w.ShouldClaim(0, time.Second+Patience-1))
	is.True(w.ShouldClaim(0, time.Second+Patience))
	is.True(!w.ShouldClaim(2, time.Second+Patience+Stagger))
	w.Heard(3, false, 2*time.Second)
	is.True(!w.ShouldClaim(0, 2*time.Second+Patience-1))
	w.Heard(2, false, 4*time.Second) // an earlier holder's answer is no sign of the present one
	is.True(w.ShouldClaim(0, 4*time.Second))
}

func TestAVacantPlaceIsClaimedInTurn(t *testing.T) {
	is := is.New(t)
	w := watching(2 * time.Second)
	w.Vacant(2, 2*time.Second)
	is.True(!w.ShouldClaim(0, 2*time.Second))
	w.Vacant(3, 2*time.Second)
	is.True(w.ShouldClaim(0, 2*time.Second))
	is.True(!w.ShouldClaim(1, 2*time.Second))
	is.True(w.ShouldClaim(1, 2*time.Second+Stagger))
	is.True(w.Follow(Holder{Epoch: 4}, 3*time.Second))
	is.True(!w.ShouldClaim(0, 3*time.Second))
	is.True(!w.Follow(Holder{Epoch: 3}, 3*time.Second)) // never backwards
}

func TestTheReturnOfTheStoreDoesNotChangeTheHolder(t *testing.T) {
	is := is.New(t)
	w := watching(time.Second)
	w.Heard(3, true, 2*time.Second) // the store is down for all
	is.True(!w.ShouldClaim(0, 2*time.Second+100*time.Millisecond))
	w.Reached(7 * time.Second) // it is back, and this process sees it first
	w.Heard(3, true, 7*time.Second)
	is.True(!w.ShouldClaim(0, 7*time.Second+TroubledFor/2))
	w.Heard(3, false, 7*time.Second+TroubledFor/2)
	is.True(!w.ShouldClaim(0, 7*time.Second+TroubledFor))
}

func TestAHolderThatTheStoreTurnsAwayAloneIsReplaced(t *testing.T) {
	is := is.New(t)
	w := watching(time.Second)
	w.Heard(3, true, 2*time.Second)
	w.Reached(2 * time.Second)
	w.Heard(3, true, 2*time.Second+TroubledFor)
	is.True(w.ShouldClaim(0, 2*time.Second+TroubledFor))
	is.True(!w.ShouldClaim(3, 2*time.Second+TroubledFor))
}

func TestRepeatedWordOfAVacantPlaceDelaysNoClaim(t *testing.T) {
	is := is.New(t)
	w := watching(time.Second)
	for at := 2 * time.Second; at < 3*time.Second; at += 50 * time.Millisecond {
		w.Vacant(3, at)
	}
	is.True(w.ShouldClaim(7, 2*time.Second+7*Stagger))
}

func TestAPlaceIsLeftToTheHeirFirst(t *testing.T) {
	is := is.New(t)
	w := watching(2 * time.Second)
	w.Vacant(3, 2*time.Second+500*time.Millisecond)
	w.Vacant(3, 2*time.Second)
	is.True(!w.ShouldClaim(0, 2*time.Second+400*time.Millisecond))
	is.True(w.ShouldClaim(0, 2*time.Second+500*time.Millisecond))
}

func TestHoldersThatChangeInQuickSuccessionGetMoreTime(t *testing.T) {
	is := is.New(t)
	w := watching(10 * time.Second)
	w.Follow(Holder{Epoch: 4}, 12*time.Second)
	is.True(!w.ShouldClaim(0, 12*time.Second+Patience))
	is.True(w.ShouldClaim(0, 12*time.Second+2*Patience))
	w.Follow(Holder{Epoch: 5}, 30*time.Second) // calm before
	is.True(w.ShouldClaim(0, 30*time.Second+Patience))
}

// TestAProcessThatWasCutOffHearsTheHolderFirst checks that a process does not take a living holder's place as soon as its own cut ends.
func TestAProcessThatWasCutOffHearsTheHolderFirst(t *testing.T) {
	is := is.New(t)
	w := watching(time.Second)
	w.Regained(6 * time.Second)
	is.True(!w.ShouldClaim(0, 6*time.Second))
	is.True(!w.ShouldClaim(0, 6*time.Second+RegainedFor-1))
	is.True(w.ShouldClaim(0, 6*time.Second+RegainedFor))
	w.Vacant(3, 6*time.Second)
	is.True(w.ShouldClaim(0, 6*time.Second)) // the holder's own word needs no patience
}

// TestAPlaceThatWasGivenUpIsNoChurn checks that patience does not grow when holders stop gracefully.
func TestAPlaceThatWasGivenUpIsNoChurn(t *testing.T) {
	is := is.New(t)
	w := watching(10 * time.Second)
	w.Vacant(3, 11*time.Second)
	is.True(w.Follow(Holder{Epoch: 4}, 11*time.Second))
	is.True(w.ShouldClaim(0, 11*time.Second+Patience)) // as patient as before
	is.True(w.Follow(Holder{Epoch: 5}, 12*time.Second))
	is.True(!w.ShouldClaim(0, 12*time.Second+Patience)) // a silent holder was replaced in quick succession
	is.True(w.ShouldClaim(0, 12*time.Second+2*Patience))
}

// TestADeadHolderIsReplacedSooner checks that a refused connection shortens the wait, until the holder is heard again.
func TestADeadHolderIsReplacedSooner(t *testing.T) {
	is := is.New(t)
	w := watching(time.Second)
	w.Refused(2, time.Second) // an earlier holder's address
	is.True(w.Alive(time.Second))
	is.Equal(w.Pause(time.Second), BeatEvery)
	w.Refused(3, time.Second)
	is.True(!w.Alive(time.Second))
	is.Equal(w.Pause(time.Second), Stagger)
	is.Equal(w.Pause(2*time.Second), BeatEvery)
	is.True(!w.ShouldClaim(0, time.Second+RefusedFor-1))
	is.True(w.ShouldClaim(0, time.Second+RefusedFor))
	is.True(!w.ShouldClaim(1, time.Second+RefusedFor))
	_, seen := w.Ago(3, time.Second)
	is.True(!seen) // is no sight of it for others
	w.Heard(3, false, time.Second)
	is.True(w.Alive(time.Second))
	is.True(!w.ShouldClaim(0, time.Second+RefusedFor))
}
