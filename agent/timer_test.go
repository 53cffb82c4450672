package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEarliestTimerKeepsTheEarliestTime guards against a delayed step of the table: a later time must not delay the timer, and an earlier one must bring it forward.
func TestEarliestTimerKeepsTheEarliestTime(t *testing.T) {
	is := is.New(t)
	a := newEarliestTimer()
	defer a.stop()
	a.set(time.Hour)
	far := a.deadline
	a.set(2 * time.Hour)
	is.Equal(a.deadline, far) // not delayed
	a.set(-time.Second)
	is.True(a.deadline.Before(far)) // brought forward
	<-a.C()
	a.markFired()
	a.set(time.Hour)
	is.True(a.armed) // set again after it fired
	is.True(a.deadline.After(time.Now()))
}

// TestLongStepDelaysTheNext guards against long steps that leave no processor time for calls: the pause after a long step must be a multiple of its duration.
func TestLongStepDelaysTheNext(t *testing.T) {
	is := is.New(t)
	is.Equal(nextStepAt(time.Second, time.Second+time.Millisecond), time.Second+time.Millisecond+minStepPause)
	is.Equal(nextStepAt(time.Second, 2*time.Second), 2*time.Second+stepRestFactor*time.Second)
}
