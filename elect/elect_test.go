package elect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newDetector returns a detector that follows the holder of epoch 3 and last heard it at the given time.
func newDetector(now time.Duration) *FailureDetector {
	d := NewFailureDetector(0)
	d.Follow(Holder{Claim: Claim{Node: "a", Address: "1"}, Epoch: 3}, now)
	return d
}

// TestNoClaimWhileTheHolderIsHeard guards against the replacement of a live holder: a claim needs a silence of HolderTimeout, and a longer one with a higher rank.
func TestNoClaimWhileTheHolderIsHeard(t *testing.T) {
	is := is.New(t)
	d := newDetector(time.Second)
	is.True(!d.ShouldClaim(0, time.Second+HolderTimeout-1))
	is.True(d.ShouldClaim(0, time.Second+HolderTimeout))
	is.True(!d.ShouldClaim(2, time.Second+HolderTimeout+ClaimStagger))
	d.RecordHeartbeat(3, false, 2*time.Second)
	is.True(!d.ShouldClaim(0, 2*time.Second+HolderTimeout-1))
	d.RecordHeartbeat(2, false, 4*time.Second) // a reply of an earlier holder does not count
	is.True(d.ShouldClaim(0, 4*time.Second))
}

// TestVacancyIsClaimedInOrderOfRank guards against a slow takeover after a resignation and against claims that collide.
// A vacancy is claimed without a timeout, but by one rank after the other.
func TestVacancyIsClaimedInOrderOfRank(t *testing.T) {
	is := is.New(t)
	d := newDetector(2 * time.Second)
	d.RecordVacancy(2, 2*time.Second)
	is.True(!d.ShouldClaim(0, 2*time.Second))
	d.RecordVacancy(3, 2*time.Second)
	is.True(d.ShouldClaim(0, 2*time.Second))
	is.True(!d.ShouldClaim(1, 2*time.Second))
	is.True(d.ShouldClaim(1, 2*time.Second+ClaimStagger))
	is.True(d.Follow(Holder{Epoch: 4}, 3*time.Second))
	is.True(!d.ShouldClaim(0, 3*time.Second))
	is.True(!d.Follow(Holder{Epoch: 3}, 3*time.Second)) // an older epoch is ignored
}

// TestRecoveryOfTheStoreDoesNotChangeTheHolder guards against a needless takeover after an outage of the store.
// The first process that reaches the store again must leave the holder time to reach it too.
func TestRecoveryOfTheStoreDoesNotChangeTheHolder(t *testing.T) {
	is := is.New(t)
	d := newDetector(time.Second)
	d.RecordHeartbeat(3, true, 2*time.Second) // the store is down for all processes
	is.True(!d.ShouldClaim(0, 2*time.Second+100*time.Millisecond))
	d.RecordStoreRead(7 * time.Second) // the store is back, and this process reaches it first
	d.RecordHeartbeat(3, true, 7*time.Second)
	is.True(!d.ShouldClaim(0, 7*time.Second+CannotWriteTimeout/2))
	d.RecordHeartbeat(3, false, 7*time.Second+CannotWriteTimeout/2)
	is.True(!d.ShouldClaim(0, 7*time.Second+CannotWriteTimeout))
}

// TestHolderThatAloneCannotWriteIsReplaced guards against a holder that hears its followers but cannot store anything: it is replaced if it still cannot write CannotWriteTimeout after another process reached the store.
func TestHolderThatAloneCannotWriteIsReplaced(t *testing.T) {
	is := is.New(t)
	d := newDetector(time.Second)
	d.RecordHeartbeat(3, true, 2*time.Second)
	d.RecordStoreRead(2 * time.Second)
	d.RecordHeartbeat(3, true, 2*time.Second+CannotWriteTimeout)
	is.True(d.ShouldClaim(0, 2*time.Second+CannotWriteTimeout))
	is.True(!d.ShouldClaim(3, 2*time.Second+CannotWriteTimeout))
}

// TestRepeatedNoticeOfVacancyDoesNotDelayClaims guards against a vacancy that is never claimed: notices of it may arrive repeatedly, and only the first one sets the time of claims.
func TestRepeatedNoticeOfVacancyDoesNotDelayClaims(t *testing.T) {
	is := is.New(t)
	d := newDetector(time.Second)
	for at := 2 * time.Second; at < 3*time.Second; at += 50 * time.Millisecond {
		d.RecordVacancy(3, at)
	}
	is.True(d.ShouldClaim(7, 2*time.Second+7*ClaimStagger))
}

// TestVacancyIsLeftToTheSuccessorFirst guards against a claim that is faster than that of the named successor: a later notice of the same vacancy must not shorten its head start.
func TestVacancyIsLeftToTheSuccessorFirst(t *testing.T) {
	is := is.New(t)
	d := newDetector(2 * time.Second)
	d.RecordVacancy(3, 2*time.Second+500*time.Millisecond)
	d.RecordVacancy(3, 2*time.Second)
	is.True(!d.ShouldClaim(0, 2*time.Second+400*time.Millisecond))
	is.True(d.ShouldClaim(0, 2*time.Second+500*time.Millisecond))
}

// TestHolderTimeoutGrowsWithFrequentChanges guards against slow holders that replace each other endlessly.
// The timeout grows with each change of the holder within churnWindow of the last one, and shrinks again after a later one.
func TestHolderTimeoutGrowsWithFrequentChanges(t *testing.T) {
	is := is.New(t)
	d := newDetector(10 * time.Second)
	d.Follow(Holder{Epoch: 4}, 12*time.Second)
	is.True(!d.ShouldClaim(0, 12*time.Second+HolderTimeout))
	is.True(d.ShouldClaim(0, 12*time.Second+2*HolderTimeout))
	d.Follow(Holder{Epoch: 5}, 30*time.Second) // the last change was longer than churnWindow ago
	is.True(d.ShouldClaim(0, 30*time.Second+HolderTimeout))
}

// TestRejoiningProcessDoesNotClaimAtOnce guards against a process that was partitioned and replaces a live holder as soon as it reaches the store again: it must first have time to hear the holder.
func TestRejoiningProcessDoesNotClaimAtOnce(t *testing.T) {
	is := is.New(t)
	d := newDetector(time.Second)
	d.RecordStoreRecovery(6 * time.Second)
	is.True(!d.ShouldClaim(0, 6*time.Second))
	is.True(!d.ShouldClaim(0, 6*time.Second+StoreRecoveryGrace-1))
	is.True(d.ShouldClaim(0, 6*time.Second+StoreRecoveryGrace))
	d.RecordVacancy(3, 6*time.Second)
	is.True(d.ShouldClaim(0, 6*time.Second)) // a resignation needs no timeout
}

// TestResignationDoesNotExtendTheTimeout guards against a slow takeover after a rolling restart: graceful stops of holders must not lengthen the timeout.
func TestResignationDoesNotExtendTheTimeout(t *testing.T) {
	is := is.New(t)
	d := newDetector(10 * time.Second)
	d.RecordVacancy(3, 11*time.Second)
	is.True(d.Follow(Holder{Epoch: 4}, 11*time.Second))
	is.True(d.ShouldClaim(0, 11*time.Second+HolderTimeout)) // the timeout is unchanged
	is.True(d.Follow(Holder{Epoch: 5}, 12*time.Second))
	is.True(!d.ShouldClaim(0, 12*time.Second+HolderTimeout)) // a silent holder was replaced within churnWindow
	is.True(d.ShouldClaim(0, 12*time.Second+2*HolderTimeout))
}

// TestRefusedConnectionShortensTheTimeout guards against a slow takeover from a holder whose process is gone: a holder whose address refuses connections is replaced after RefusedTimeout, unless it is heard again.
func TestRefusedConnectionShortensTheTimeout(t *testing.T) {
	is := is.New(t)
	d := newDetector(time.Second)
	d.RecordRefusal(2, time.Second) // an earlier holder's address
	is.True(d.Alive(time.Second))
	is.Equal(d.NextHeartbeatIn(time.Second), HeartbeatInterval)
	d.RecordRefusal(3, time.Second)
	is.True(!d.Alive(time.Second))
	is.Equal(d.NextHeartbeatIn(time.Second), ClaimStagger)
	is.Equal(d.NextHeartbeatIn(2*time.Second), HeartbeatInterval)
	is.True(!d.ShouldClaim(0, time.Second+RefusedTimeout-1))
	is.True(d.ShouldClaim(0, time.Second+RefusedTimeout))
	is.True(!d.ShouldClaim(1, time.Second+RefusedTimeout))
	_, heard := d.HeardAgo(3, time.Second)
	is.True(!heard) // so this process does not keep others from claiming
	d.RecordHeartbeat(3, false, time.Second)
	is.True(d.Alive(time.Second))
	is.True(!d.ShouldClaim(0, time.Second+RefusedTimeout))
}

// TestLongerTimeoutEndsWithTheChurn guards against a slow takeover long after a series of changes: the timeout that they lengthened stayed longer until the next change.
func TestLongerTimeoutEndsWithTheChurn(t *testing.T) {
	is := is.New(t)
	d := newDetector(time.Second)
	d.Follow(Holder{Epoch: 4}, 2*time.Second)
	d.Follow(Holder{Epoch: 5}, 3*time.Second)
	is.True(!d.ShouldClaim(0, 3*time.Second+HolderTimeout)) // the holders change often
	later := 3*time.Second + churnWindow
	d.RecordHeartbeat(5, false, later)
	is.True(!d.ShouldClaim(0, later+HolderTimeout-1))
	is.True(d.ShouldClaim(0, later+HolderTimeout))
}

// TestHolderThatWasOnlyReadAboutDoesNotCountAsHeard guards against a process that has just started, has read in the store who the holder was, and keeps the others from replacing it by saying that it was heard.
func TestHolderThatWasOnlyReadAboutDoesNotCountAsHeard(t *testing.T) {
	is := is.New(t)
	d := NewFailureDetector(time.Second)
	d.Follow(Holder{Epoch: 3}, time.Second)
	_, heard := d.HeardAgo(3, time.Second+MaxHeardAge/2)
	is.True(!heard)
	is.True(!d.ShouldClaim(0, time.Second+MaxHeardAge/2)) // it still gives the holder time to answer
	d.RecordHeartbeat(3, false, time.Second+MaxHeardAge/2)
	ago, heard := d.HeardAgo(3, time.Second+MaxHeardAge)
	is.True(heard)
	is.Equal(ago, MaxHeardAge/2)
}
