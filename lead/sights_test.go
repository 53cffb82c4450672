package lead

import (
	"testing"

	"github.com/matryer/is"
)

// TestPollIsDecidedByMajority checks that unreachable processes do not delay a takeover, and that one process that hears the holder prevents it.
func TestPollIsDecidedByMajority(t *testing.T) {
	for _, c := range []struct {
		name    string
		asked   int
		sights  []Sight
		decided bool
		seen    bool
		alone   bool
	}{
		{name: "no process to ask", asked: 0, decided: true},
		{name: "one of two does not hear the holder", asked: 2, sights: []Sight{Unseen}},
		{name: "two of three do not hear the holder", asked: 3, sights: []Sight{Unseen, Unseen}, decided: true},
		{name: "unanswered ones do not count for the majority", asked: 3, sights: []Sight{Unanswered, Unanswered}, alone: true},
		{name: "none answers", asked: 2, sights: []Sight{Unanswered, Unanswered}, decided: true, alone: true},
		{name: "all are gone", asked: 2, sights: []Sight{Gone, Gone}, decided: true},
		{name: "one is gone, one does not answer", asked: 2, sights: []Sight{Gone, Unanswered}, decided: true, alone: true},
		{name: "gone processes do not count", asked: 4, sights: []Sight{Gone, Gone, Unseen, Unseen}, decided: true},
		{name: "one hears the holder", asked: 9, sights: []Sight{Unseen, Seen}, decided: true, seen: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := NewSights(c.asked)
			for _, result := range c.sights {
				s = s.With(result)
			}
			is.Equal(s.Decided(), c.decided)
			is.Equal(s.Seen(), c.seen)
			is.Equal(s.Alone(), c.alone)
		})
	}
}
