package escrow

// Hold is what one seat holds of a team's limit, in slots.
type Hold struct {
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

// Held returns all units of the hold.
func (h Hold) Held() int { return h.Floor + h.Elastic }

// WithWant returns a copy that wants another number of units.
func (h Hold) WithWant(want int) Hold {
	h.Want = max(want, 0)
	return h
}

// WithIncarnation returns a copy passed on to another incarnation, which inherits every unit.
func (h Hold) WithIncarnation(incarnation string) Hold {
	h.Incarnation = incarnation
	h.Inherited = h.Held()
	h.Want = 0
	return h
}

// WithElastic returns a copy with another elastic part.
func (h Hold) WithElastic(elastic int) Hold {
	h.Elastic = elastic
	h.Inherited = min(h.Inherited, h.Held())
	return h
}

// WithFloor returns a copy with another floor part.
func (h Hold) WithFloor(floor int) Hold {
	h.Floor = floor
	h.Inherited = min(h.Inherited, h.Held())
	return h
}

func (h Hold) unmet() int { return max(h.Want-h.Held(), 0) }
