package alloc

// Report is the state of one service in one entry process, as sent to the service's allocator.
type Report struct {
	Service     string
	Seat        string
	Incarnation string
	// Number increases with each report of the incarnation, so that the allocator ignores reports that arrive out of order.
	Number uint64
	// Applied is the sequence of the newest allocation that the entry process uses.
	Applied uint64
	// Same means that the demands and uses equal those of the last full report and are omitted.
	Same    bool
	Demands []Demand
	Uses    []TargetUsage
}

// Demand is one team's demand in an entry process, bounded by the team's limit.
type Demand struct {
	Team string
	// Want is the number of requests that run now or could run if slots were available.
	Want int
}

// TargetUsage is an entry process's usage of one target.
type TargetUsage struct {
	Target  string
	Credit  int
	Running int
	// Ejections counts how often the entry process stopped using the target because of failures.
	Ejections int
}

// Allocation is the reply to a report and holds the slots of the service that the entry process may use.
type Allocation struct {
	// Sequence increases with each new allocation that an allocator makes for the entry process.
	Sequence uint64
	// Same means that the entry process already has the allocation of this sequence, which is omitted.
	Same bool
	// Unknown requests a full report, because the allocator does not have the last one.
	Unknown bool
	Credits []Credit
	Quotas  []Quota
	// Level is the number of slots per unit of weight up to which a team has priority over others.
	Level float64
}

// Credit is the number of slots of one target that the entry process may occupy.
type Credit struct {
	Target string
	Slots  int
}

// Quota is the number of the service's slots that one team should get in the entry process.
type Quota struct {
	Team  string
	Slots int
	// Spare is the number of slots that the team could get beyond its current demand in all entry processes.
	Spare int
}
