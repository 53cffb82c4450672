package lead

// Sight is the result of asking another process whether it hears the holder.
type Sight int

// Results of asking a process.
const (
	// Unanswered means that the process did not answer in time.
	Unanswered Sight = iota
	// Gone means that the process refused the connection; it is not counted.
	Gone
	// Unseen means that the process has not heard the holder recently.
	Unseen
	// Seen means that the process has heard the holder recently or knows a later one.
	Seen
)

// Sights is a poll of other processes on a holder that this process does not hear.
type Sights struct {
	asked, results, unheard, gone int
	heard                         bool
}

// NewSights returns a poll of the given number of processes.
func NewSights(asked int) Sights { return Sights{asked: asked} }

// With returns the poll with one more result.
func (s Sights) With(result Sight) Sights {
	s.results++
	switch result {
	case Seen:
		s.heard = true
	case Unseen:
		s.unheard++
	case Gone:
		s.gone++
	case Unanswered:
	}
	return s
}

// Decided reports whether further results cannot change the poll: one process hears the holder, a majority of those that are not gone does not, or all results are in.
func (s Sights) Decided() bool {
	return s.heard || 2*s.unheard > s.asked-s.gone || s.results >= s.asked
}

// Alone reports whether other processes exist and none of them answered.
func (s Sights) Alone() bool { return !s.heard && s.unheard == 0 && s.asked > s.gone }

// Seen reports whether any process hears the holder.
func (s Sights) Seen() bool { return s.heard }
