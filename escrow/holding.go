package escrow

// Holding is the part of a team's limit that one entry process holds, in slots.
type Holding struct {
	Seat string `json:"seat"`
	Zone string `json:"zone"`
	// Incarnation is the incarnation of the entry process that may use the units.
	Incarnation string `json:"incarnation"`
	// Floor is the number of units that need no lease, so that an entry process continues to work without the log.
	Floor int `json:"floor"`
	// Elastic is the number of units that may be used only while the incarnation's lease is valid.
	Elastic int `json:"elastic"`
	// Inherited is the number of units that an earlier incarnation may still use on targets.
	Inherited int `json:"inherited"`
	// Want is the number of units that the incarnation last requested.
	Want int `json:"want"`
}

// Units returns the number of floor and elastic units together.
func (h Holding) Units() int { return h.Floor + h.Elastic }

// WithWant returns a copy with another number of wanted units.
func (h Holding) WithWant(want int) Holding {
	h.Want = max(want, 0)
	return h
}

// WithIncarnation returns a copy for another incarnation, which inherits all units.
func (h Holding) WithIncarnation(incarnation string) Holding {
	h.Incarnation = incarnation
	h.Inherited = h.Units()
	h.Want = 0
	return h
}

// WithElastic returns a copy with another number of elastic units.
func (h Holding) WithElastic(elastic int) Holding {
	h.Elastic = elastic
	h.Inherited = min(h.Inherited, h.Units())
	return h
}

// WithFloor returns a copy with another number of floor units.
func (h Holding) WithFloor(floor int) Holding {
	h.Floor = floor
	h.Inherited = min(h.Inherited, h.Units())
	return h
}

func (h Holding) unmetUnits() int { return max(h.Want-h.Units(), 0) }
