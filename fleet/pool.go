package fleet

// Pool is a group of hosts that drain and reboot together; a host belongs to exactly one.
type Pool struct {
	Name    string `json:"name"`
	Partner string `json:"partner"`
	// Spare pools feed other pools and serve nothing themselves.
	Spare   bool  `json:"spare"`
	Version int64 `json:"version"`
}

// ID returns the pool's name.
func (p Pool) ID() string { return p.Name }

// At returns the log offset of the pool's last change.
func (p Pool) At() int64 { return p.Version }

// WithVersion returns a copy at the given version.
func (p Pool) WithVersion(version int64) Pool {
	p.Version = version
	return p
}

// Problems returns every reason why the pool is not acceptable.
func (p Pool) Problems() []string {
	return join(present("name", p.Name), present("partner", p.Partner))
}

func (Pool) row() {}
