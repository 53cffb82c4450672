package lead

// ProbeResult is what another process says of a holder.
type ProbeResult int

// Sights of a holder.
const (
	// Unanswered means that the process did not answer.
	Unanswered ProbeResult = iota
	// PeerGone means that the process is gone, and its word with it.
	PeerGone
	// HolderUnheard means that it has not heard the holder lately.
	HolderUnheard
	// HolderHeard means that it has, or knows a later one.
	HolderHeard
)

// Poll gathers what other processes say of a holder that this one does not hear.
type Poll struct {
	asked, said, unseen, gone int
	seen                      bool
}

// NewPoll returns a poll of so many processes.
func NewPoll(asked int) Poll { return Poll{asked: asked} }

// With returns the poll with one more answer.
func (s Poll) With(one ProbeResult) Poll {
	s.said++
	switch one {
	case HolderHeard:
		s.seen = true
	case HolderUnheard:
		s.unseen++
	case PeerGone:
		s.gone++
	case Unanswered:
	}
	return s
}

// Decided reports whether no further answer matters: one process has seen the holder, most have not, or all have had their time.
func (s Poll) Decided() bool {
	return s.seen || 2*s.unseen > s.asked-s.gone || s.said >= s.asked
}

// Isolated reports whether there are other processes and none of them has answered.
func (s Poll) Isolated() bool { return !s.seen && s.unseen == 0 && s.asked > s.gone }

// HolderHeard reports whether a process has seen the holder.
func (s Poll) HolderHeard() bool { return s.seen }
