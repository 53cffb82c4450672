package escrow

// Holding is what one seat holds of a team's limit, in slots.
type Holding struct {
	Seat string `json:"seat"`
	Zone string `json:"zone"`
	// Incarnation is the run of the entry process that may spend the hold.
	Incarnation string `json:"incarnation"`
	// Floor never expires, so that a seat cut off from the log goes on.
	Floor int `json:"floor"`
	// Elastic is good only while the incarnation's lease is valid.
	Elastic int `json:"elastic"`
	// Inherited is the part that an earlier incarnation may still be using on targets.
	Inherited int `json:"inherited"`
	// Want is the number of units that the incarnation last asked for.
	Want int `json:"want"`
}

// Units returns all units of the hold.
func (h Holding) Units() int { return h.Floor + h.Elastic }

// WithWant returns a copy that wants another number of units.
func (h Holding) WithWant(want int) Holding {
	h.Want = max(want, 0)
	return h
}

// WithIncarnation returns a copy passed on to another incarnation, which inherits every unit.
func (h Holding) WithIncarnation(incarnation string) Holding {
	h.Incarnation = incarnation
	h.Inherited = h.Units()
	h.Want = 0
	return h
}

// WithElastic returns a copy with another elastic part.
func (h Holding) WithElastic(elastic int) Holding {
	h.Elastic = elastic
	h.Inherited = min(h.Inherited, h.Units())
	return h
}

// WithFloor returns a copy with another floor part.
func (h Holding) WithFloor(floor int) Holding {
	h.Floor = floor
	h.Inherited = min(h.Inherited, h.Units())
	return h
}

func (h Holding) unmet() int { return max(h.Want-h.Units(), 0) }
