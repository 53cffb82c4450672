package escrow

// Hold is the part of a team's limit that one entry process holds, in slots.
type Hold struct {
	Seat string `json:"seat"`
	Zone string `json:"zone"`
	// Incarnation is the incarnation of the entry process that may use the units.
	Incarnation string `json:"incarnation"`
	// Floor never expires, so that an entry process continues to work without the log.
	Floor int `json:"floor"`
	// Elastic may be used only while the incarnation's lease is valid.
	Elastic int `json:"elastic"`
	// Inherited is the number of units that an earlier incarnation may still use on targets.
	Inherited int `json:"inherited"`
	// Want is the number of units that the incarnation last requested.
	Want int `json:"want"`
}

// Held returns the number of all units, floor and elastic.
func (h Hold) Held() int { return h.Floor + h.Elastic }

// WithWant returns a copy with another number of wanted units.
func (h Hold) WithWant(want int) Hold {
	h.Want = max(want, 0)
	return h
}

// WithIncarnation returns a copy for another incarnation, which inherits all units.
func (h Hold) WithIncarnation(incarnation string) Hold {
	h.Incarnation = incarnation
	h.Inherited = h.Held()
	h.Want = 0
	return h
}

// WithElastic returns a copy with another number of elastic units.
func (h Hold) WithElastic(elastic int) Hold {
	h.Elastic = elastic
	h.Inherited = min(h.Inherited, h.Held())
	return h
}

// WithFloor returns a copy with another number of floor units.
func (h Hold) WithFloor(floor int) Hold {
	h.Floor = floor
	h.Inherited = min(h.Inherited, h.Held())
	return h
}

func (h Hold) unmetUnits() int { return max(h.Want-h.Held(), 0) }
