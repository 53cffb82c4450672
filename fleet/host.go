package fleet

// Host is a machine in one pool; its executor is the target of that pool's service.
type Host struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Address string `json:"address"`
	// Slots is the number of requests that the executor runs at once.
	Slots int `json:"slots"`
	// Draining hosts get no new work and finish what they run.
	Draining bool  `json:"draining"`
	Version  int64 `json:"version"`
}

// ID returns the host's name.
func (h Host) ID() string { return h.Name }

// At returns the log offset of the host's last change.
func (h Host) At() int64 { return h.Version }

// WithVersion returns a copy at the given version.
func (h Host) WithVersion(version int64) Host {
	h.Version = version
	return h
}

// WithDraining returns a copy that is or is not draining.
func (h Host) WithDraining(draining bool) Host {
	h.Draining = draining
	return h
}

// WithPool returns a copy that belongs to another pool.
func (h Host) WithPool(pool string) Host {
	h.Pool = pool
	return h
}

// Problems returns every reason why the host is not acceptable.
func (h Host) Problems() []string {
	return join(
		present("name", h.Name),
		present("pool", h.Pool),
		present("zone", h.Zone),
		present("address", h.Address),
		atLeast("slots", h.Slots, 1),
	)
}

func (Host) row() {}
