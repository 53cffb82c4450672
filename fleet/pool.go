package fleet

// Pool is a group of hosts that are drained and rebooted together; each host belongs to exactly one pool.
type Pool struct {
	Name    string `json:"name"`
	Partner string `json:"partner"`
	// Spare pools run no service; their hosts are there to be moved to other pools.
	Spare   bool  `json:"spare"`
	Version int64 `json:"version"`
}

// ID returns the pool's name.
func (p Pool) ID() string { return p.Name }

// RowVersion returns the log offset of the pool's last change.
func (p Pool) RowVersion() int64 { return p.Version }

// WithVersion returns a copy at the given version.
func (p Pool) WithVersion(version int64) Pool {
	p.Version = version
	return p
}

// Problems returns every reason why the pool is invalid.
func (p Pool) Problems() []string {
	return concat(notEmpty("name", p.Name), notEmpty("partner", p.Partner))
}

func (Pool) row() {}
