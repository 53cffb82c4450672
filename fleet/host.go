package fleet

// Host is a machine in one pool; its executor is a target of the services that use the pool.
type Host struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Address string `json:"address"`
	// Slots is the number of requests that the executor runs at once.
	Slots int `json:"slots"`
	// Draining hosts get no new requests and finish those that they run.
	Draining bool  `json:"draining"`
	Version  int64 `json:"version"`
}

// ID returns the host's name.
func (h Host) ID() string { return h.Name }

// RowVersion returns the log offset of the host's last change.
func (h Host) RowVersion() int64 { return h.Version }

// WithVersion returns a copy at the given version.
func (h Host) WithVersion(version int64) Host {
	h.Version = version
	return h
}

// WithDraining returns a copy with the given draining state.
func (h Host) WithDraining(draining bool) Host {
	h.Draining = draining
	return h
}

// WithPool returns a copy that belongs to the given pool.
func (h Host) WithPool(pool string) Host {
	h.Pool = pool
	return h
}

// Problems returns every reason why the host is invalid.
func (h Host) Problems() []string {
	return concat(
		notEmpty("name", h.Name),
		notEmpty("pool", h.Pool),
		notEmpty("zone", h.Zone),
		notEmpty("address", h.Address),
		atLeast("slots", h.Slots, 1),
	)
}

func (Host) row() {}
