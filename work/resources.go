package work

// Resources is a quantity of CPU, memory and GPUs that an item requests or a target offers.
type Resources struct {
	_ struct{} `cbor:",toarray"`
	// CPU is in millicores.
	CPU   int64
	MemMB int64
	GPUs  int64
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, MemMB: r.MemMB + other.MemMB, GPUs: r.GPUs + other.GPUs}
}

// Sub returns r reduced by other; a dimension may become negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, MemMB: r.MemMB - other.MemMB, GPUs: r.GPUs - other.GPUs}
}

// Fits reports whether r is within the limit in every dimension.
func (r Resources) Fits(limit Resources) bool {
	return r.CPU <= limit.CPU && r.MemMB <= limit.MemMB && r.GPUs <= limit.GPUs
}
