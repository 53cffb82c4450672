package lead

// Sight is what another process says of a holder.
type Sight int

// Sights of a holder.
const (
	// Unanswered means that the process did not answer.
	Unanswered Sight = iota
	// Gone means that the process is gone, and its word with it.
	Gone
	// Unseen means that it has not heard the holder lately.
	Unseen
	// Seen means that it has, or knows a later one.
	Seen
)

// Sights gathers what other processes say of a holder that this one does not hear.
type Sights struct {
	asked, said, unseen, gone int
	seen                      bool
}

// NewSights returns a poll of so many processes.
func NewSights(asked int) Sights { return Sights{asked: asked} }

// With returns the poll with one more answer.
func (s Sights) With(one Sight) Sights {
	s.said++
	switch one {
	case Seen:
		s.seen = true
	case Unseen:
		s.unseen++
	case Gone:
		s.gone++
	case Unanswered:
	}
	return s
}

// Decided reports whether no further answer matters: one process has seen the holder, most have not, or all have had their time.
func (s Sights) Decided() bool {
	return s.seen || 2*s.unseen > s.asked-s.gone || s.said >= s.asked
}

// Alone reports whether there are other processes and none of them has answered.
func (s Sights) Alone() bool { return !s.seen && s.unseen == 0 && s.asked > s.gone }

// Seen reports whether a process has seen the holder.
func (s Sights) Seen() bool { return s.seen }
