package elect

// ProbeResult is the result of a probe, which asks another process whether it hears the holder.
type ProbeResult int

// Results of a probe.
const (
	// Unanswered means that the process did not answer in time.
	Unanswered ProbeResult = iota
	// PeerGone means that the process refused the connection, so it is not running; it does not count for the majority.
	PeerGone
	// HolderUnheard means that the process has not heard the holder recently.
	HolderUnheard
	// HolderHeard means that the process has heard the holder recently or knows a later holder.
	HolderHeard
)

// Poll counts the results of probes about a holder that this process does not hear.
type Poll struct {
	// The numbers of processes asked and of results received, and of the results HolderUnheard and PeerGone.
	asked, received, unheard, gone int
	heard                          bool
}

// NewPoll returns a poll that probes the given number of processes.
func NewPoll(asked int) Poll { return Poll{asked: asked} }

// With returns the poll with one more result.
func (p Poll) With(result ProbeResult) Poll {
	p.received++
	switch result {
	case HolderHeard:
		p.heard = true
	case HolderUnheard:
		p.unheard++
	case PeerGone:
		p.gone++
	case Unanswered:
	}
	return p
}

// Decided reports whether the poll needs no further results: one process hears the holder, a majority of those that are not gone does not, or all results are in.
func (p Poll) Decided() bool {
	return p.heard || 2*p.unheard > p.asked-p.gone || p.received >= p.asked
}

// Isolated reports whether some of the asked processes are not gone, and none of these answered. This also holds if just one process was asked and does not answer.
func (p Poll) Isolated() bool { return !p.heard && p.unheard == 0 && p.asked > p.gone }

// HolderHeard reports whether any process hears the holder.
func (p Poll) HolderHeard() bool { return p.heard }
