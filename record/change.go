package record

import "lavenderwing.example/lavenderwing/fleet"

// Change is an operator's change of the configuration; its puts are accepted or rejected as a whole.
type Change struct {
	Operator string `json:"operator"`
	Puts     []Put  `json:"puts"`
}

// Put creates or replaces one row of the configuration; exactly one of the row fields is set.
type Put struct {
	// ExpectedVersion is the version that the put replaces, or zero for a row that must not exist yet.
	ExpectedVersion int64          `json:"expect"`
	Team            *fleet.Team    `json:"team,omitempty"`
	Key             *fleet.Key     `json:"key,omitempty"`
	Queue           *fleet.Queue   `json:"queue,omitempty"`
	Service         *fleet.Service `json:"service,omitempty"`
	Pool            *fleet.Pool    `json:"pool,omitempty"`
	Host            *fleet.Host    `json:"host,omitempty"`
}

// Row returns the row that the put writes, or nil unless exactly one row field is set.
func (p Put) Row() fleet.Row {
	var row fleet.Row
	count := 0
	set := func(present bool, value func() fleet.Row) {
		if present {
			row = value()
			count++
		}
	}
	set(p.Team != nil, func() fleet.Row { return *p.Team })
	set(p.Key != nil, func() fleet.Row { return *p.Key })
	set(p.Queue != nil, func() fleet.Row { return *p.Queue })
	set(p.Service != nil, func() fleet.Row { return *p.Service })
	set(p.Pool != nil, func() fleet.Row { return *p.Pool })
	set(p.Host != nil, func() fleet.Row { return *p.Host })
	if count != 1 {
		return nil
	}
	return row
}

// NewPut returns a put that replaces the expected version of the row.
func NewPut(row fleet.Row, expected int64) Put {
	put := Put{ExpectedVersion: expected}
	switch r := row.(type) {
	case fleet.Team:
		put.Team = &r
	case fleet.Key:
		put.Key = &r
	case fleet.Queue:
		put.Queue = &r
	case fleet.Service:
		put.Service = &r
	case fleet.Pool:
		put.Pool = &r
	case fleet.Host:
		put.Host = &r
	}
	return put
}
