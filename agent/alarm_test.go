package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAlarmKeepsTheEarliestTime checks that a later wish does not put off an alarm and an earlier one brings it forward.
func TestAlarmKeepsTheEarliestTime(t *testing.T) {
	is := is.New(t)
	a := newAlarm()
	defer a.stop()
	a.set(time.Hour)
	far := a.at
	a.set(2 * time.Hour)
	is.Equal(a.at, far) // not put off
	a.set(-time.Second)
	is.True(a.at.Before(far)) // brought forward
	<-a.C()
	a.rang()
	a.set(time.Hour)
	is.True(a.armed) // set again after it rang
	is.True(a.at.After(time.Now()))
}

// TestStepsLeaveTheProcessorToCalls checks that a step that took long delays the next one by several times as much.
func TestStepsLeaveTheProcessorToCalls(t *testing.T) {
	is := is.New(t)
	is.Equal(restAfter(time.Second, time.Second+time.Millisecond), time.Second+time.Millisecond+stepEvery)
	is.Equal(restAfter(time.Second, 2*time.Second), 2*time.Second+stepRest*time.Second)
}
