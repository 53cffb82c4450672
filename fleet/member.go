package fleet

// Member is an entry process that joined at a seat; at most one live process can listen on the address of the seat.
type Member struct {
	// Seat is the address under which peers reach the process.
	Seat string `json:"seat"`
	// Incarnation identifies one run of the process.
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	// Address is where the process serves callers and operators.
	Address string `json:"address"`
	// RenewalOffset is the log offset of the last lease renewal, or of the join if there was none.
	RenewalOffset int64 `json:"renewed"`
	// Live is false after the process left or its lease expired.
	Live bool `json:"live"`
}

// WithRenewalOffset returns a copy whose lease was renewed at the given log offset.
func (m Member) WithRenewalOffset(offset int64) Member {
	m.RenewalOffset = offset
	return m
}

// WithLive returns a copy with the given live state.
func (m Member) WithLive(live bool) Member {
	m.Live = live
	return m
}
