package alloc

// Report is what one entry process says of one service.
type Report struct {
	Service     string
	Seat        string
	Incarnation string
	// Number grows with each report of the incarnation, so that one overtaken on its way is not taken for news.
	Number uint64
	// Applied is the sequence of the newest allocation in use at the seat.
	Applied uint64
	// Same stands for the demands and uses of the last report, which are left out.
	Same    bool
	Demands []Demand
	Uses    []TargetUsage
}

// Demand is what one team wants at a seat, as far as its limit admits.
type Demand struct {
	Team string
	// Want is the number of requests that run or could run if there were slots.
	Want int
}

// TargetUsage is a seat's part of one target.
type TargetUsage struct {
	Target  string
	Credit  int
	Running int
	// Ejections counts how often the seat took the target out of use because it failed.
	Ejections int
}

// Allocation answers a report with the seat's part of the service.
type Allocation struct {
	// Sequence grows with each allocation of one allocator for the seat.
	Sequence uint64
	// Same stands for the allocation of this sequence, which the seat already has.
	Same bool
	// Unknown asks for a whole report, because the allocator does not know the last one.
	Unknown bool
	Credits []Credit
	Quotas  []Quota
	// Level is the number of slots per weight up to which a team is served before others.
	Level float64
}

// Credit is the number of slots of a target that the seat may occupy.
type Credit struct {
	Target string
	Slots  int
}

// Quota is the number of the service's slots that a team should have at the seat.
type Quota struct {
	Team  string
	Slots int
	// Spare is the number of slots that the team could have beyond all it wants now, at any seat.
	Spare int
}
