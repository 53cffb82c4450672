package lead

import (
	"testing"

	"github.com/matryer/is"
)

// TestMostThatHaveNotSeenTheHolderDecide checks that processes that cannot be reached do not delay a takeover, and that one sight prevents it.
func TestMostThatHaveNotSeenTheHolderDecide(t *testing.T) {
	for _, c := range []struct {
		name    string
		asked   int
		sights  []ProbeResult
		decided bool
		seen    bool
		alone   bool
	}{
		{name: "nobody to ask", asked: 0, decided: true},
		{name: "one of two has not", asked: 2, sights: []ProbeResult{HolderUnheard}},
		{name: "two of three have not", asked: 3, sights: []ProbeResult{HolderUnheard, HolderUnheard}, decided: true},
		{name: "silent ones do not count as most", asked: 3, sights: []ProbeResult{Unanswered, Unanswered}, alone: true},
		{name: "all are silent", asked: 2, sights: []ProbeResult{Unanswered, Unanswered}, decided: true, alone: true},
		{name: "all are gone", asked: 2, sights: []ProbeResult{PeerGone, PeerGone}, decided: true},
		{name: "one is gone, one silent", asked: 2, sights: []ProbeResult{PeerGone, Unanswered}, decided: true, alone: true},
		{name: "those that are gone have no word", asked: 4, sights: []ProbeResult{PeerGone, PeerGone, HolderUnheard, HolderUnheard}, decided: true},
		{name: "one has", asked: 9, sights: []ProbeResult{HolderUnheard, HolderHeard}, decided: true, seen: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := NewPoll(c.asked)
			for _, one := range c.sights {
				s = s.With(one)
			}
			is.Equal(s.Decided(), c.decided)
			is.Equal(s.HolderHeard(), c.seen)
			is.Equal(s.Isolated(), c.alone)
		})
	}
}
