package fleet

// Member is one running entry process; its seat is the address that no two live processes can share.
type Member struct {
	// Seat is the entry process's address for peers.
	Seat string `json:"seat"`
	// Incarnation is new at each start of the process.
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	// Address serves callers and operators.
	Address string `json:"address"`
	// Renewed is the log offset of the join or of the newest lease renewal.
	Renewed int64 `json:"renewed"`
	// Live is false after the process left or its lease was declared expired.
	Live bool `json:"live"`
}

// WithRenewed returns a copy whose lease was renewed at the given log offset.
func (m Member) WithRenewed(offset int64) Member {
	m.Renewed = offset
	return m
}

// WithLive returns a copy that is or is not live.
func (m Member) WithLive(live bool) Member {
	m.Live = live
	return m
}
