package fleet

// Team is a customer of the fleet, with a share that applies when the fleet is full and a limit that always applies.
type Team struct {
	Name    string `json:"name"`
	Partner string `json:"partner"`
	// Share is the team's weight in weighted max-min fairness.
	Share int `json:"share"`
	// Limit is how many slots the team may occupy at once across the fleet.
	Limit   int   `json:"limit"`
	Version int64 `json:"version"`
}

// ID returns the team's name.
func (t Team) ID() string { return t.Name }

// RowVersion returns the log offset of the team's last change.
func (t Team) RowVersion() int64 { return t.Version }

// WithVersion returns a copy at the given version.
func (t Team) WithVersion(version int64) Team {
	t.Version = version
	return t
}

// WithShare returns a copy with the given share.
func (t Team) WithShare(share int) Team {
	t.Share = share
	return t
}

// WithLimit returns a copy with the given limit in slots.
func (t Team) WithLimit(limit int) Team {
	t.Limit = limit
	return t
}

// Problems returns every reason why the team is invalid.
func (t Team) Problems() []string {
	return concat(
		notEmpty("name", t.Name),
		notEmpty("partner", t.Partner),
		atLeast("share", t.Share, 1),
		atLeast("limit", t.Limit, 0),
	)
}

func (Team) row() {}
