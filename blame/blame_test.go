package blame

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCrashesThatCount guards against a job that is given up for crashes that its item has not caused for all that is known: see the table in docs/design/17-crashes.md, whose lines these are.
func TestCrashesThatCount(t *testing.T) {
	const ms = time.Millisecond
	for _, v := range []struct {
		name  string
		run   Run
		count Count
	}{
		{"not sent", Run{}, None},
		{"sent, not answered", Run{Sent: true, Silent: 100 * ms}, Unanswered},
		{"sent, not answered, target cut off before", Run{Sent: true, Silent: 5000 * ms}, Unanswered},
		{"answered, never seen again", Run{Sent: true, Seen: true, Silent: 100 * ms}, Prompt},
		{"answered, silent for as long as a crash takes to show", Run{Sent: true, Seen: true, Silent: 2000 * ms}, Prompt},
		{"answered, silent at once, shows late", Run{Sent: true, Seen: true, Active: 249 * ms, Silent: 2001 * ms}, Late},
		{"seen running, then cut off, started anew behind the cut", Run{Sent: true, Seen: true, Active: 250 * ms, Silent: 2001 * ms}, None},
		{"seen running for a while", Run{Sent: true, Seen: true, Active: 1999 * ms, Silent: 100 * ms}, Prompt},
		{"seen running for long", Run{Sent: true, Seen: true, Active: 2000 * ms, Silent: 100 * ms}, None},
	} {
		t.Run(v.name, func(t *testing.T) { is.New(t).Equal(Judge(v.run), v.count) })
	}
}

// TestGivingUp guards against an item that is given up for less than two crashes under runs that were seen, and one that is not given up for more.
func TestGivingUp(t *testing.T) {
	for _, v := range []struct {
		name           string
		before         Tally
		last           Count
		guilty, usedUp bool
	}{
		{"one prompt crash", Tally{}, Prompt, false, false},
		{"two prompt crashes", Tally{Prompt: 1}, Prompt, true, false},
		{"one of them explained by another item", Tally{Explained: 1}, Prompt, true, false},
		{"one prompt and many unanswered", Tally{Prompt: 1, Unanswered: 9}, Unanswered, false, false},
		{"many unanswered and one prompt", Tally{Unanswered: 9}, Prompt, false, false},
		{"one prompt and one late", Tally{Prompt: 1}, Late, false, false},
		{"one late and one prompt", Tally{Late: 1}, Prompt, false, false},
		{"three, some of them late", Tally{Late: 2}, Prompt, true, false},
		{"three late", Tally{Late: 2}, Late, true, false},
		{"four", Tally{Prompt: 1, Late: 2}, Prompt, true, true},
		{"a cut", Tally{Prompt: 1, Late: 1}, None, false, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			after := v.before.Add(v.last)
			is.Equal(after.Guilty(v.last), v.guilty)
			is.Equal(after.UsedUp(), v.usedUp)
			is.Equal(after.Remove(v.last), v.before)
		})
	}
}

// TestPauses guards against an item that crashes target after target without a bound, because its starts are never answered.
func TestPauses(t *testing.T) {
	is := is.New(t)
	tally, total := Tally{}, time.Duration(0)
	var pauses []time.Duration
	for total < 10*time.Minute {
		tally = tally.Add(Unanswered)
		pauses = append(pauses, tally.Pause())
		total += tally.Pause()
	}
	is.Equal(pauses[:9], []time.Duration{0, 0, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second, 32 * time.Second})
	is.Equal(len(pauses), 25) // targets in ten minutes
	is.True(tally.Isolated())
	is.True(!tally.Guilty(Unanswered))
}
