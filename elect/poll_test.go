package elect

import (
	"testing"

	"github.com/matryer/is"
)

// TestPollIsDecidedByMajority guards against a takeover that waits for unreachable processes, and against one that replaces a holder that another process still hears.
func TestPollIsDecidedByMajority(t *testing.T) {
	for _, c := range []struct {
		name     string
		asked    int
		results  []ProbeResult
		decided  bool
		heard    bool
		isolated bool
	}{
		{name: "no process to ask", asked: 0, decided: true},
		{name: "one of two does not hear the holder", asked: 2, results: []ProbeResult{HolderUnheard}},
		{name: "two of three do not hear the holder", asked: 3, results: []ProbeResult{HolderUnheard, HolderUnheard}, decided: true},
		{name: "unanswered ones do not count for the majority", asked: 3, results: []ProbeResult{Unanswered, Unanswered}, isolated: true},
		{name: "none answers", asked: 2, results: []ProbeResult{Unanswered, Unanswered}, decided: true, isolated: true},
		{name: "all are gone", asked: 2, results: []ProbeResult{PeerGone, PeerGone}, decided: true},
		{name: "one is gone, one does not answer", asked: 2, results: []ProbeResult{PeerGone, Unanswered}, decided: true, isolated: true},
		{name: "gone processes do not count", asked: 4, results: []ProbeResult{PeerGone, PeerGone, HolderUnheard, HolderUnheard}, decided: true},
		{name: "one hears the holder", asked: 9, results: []ProbeResult{HolderUnheard, HolderHeard}, decided: true, heard: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			poll := NewPoll(c.asked)
			for _, result := range c.results {
				poll = poll.With(result)
			}
			is.Equal(poll.Decided(), c.decided)
			is.Equal(poll.HolderHeard(), c.heard)
			is.Equal(poll.Isolated(), c.isolated)
		})
	}
}
