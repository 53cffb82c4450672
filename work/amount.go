package work

// Resources is a quantity of CPU, memory and GPUs that an item requests or a target offers.
type Resources struct {
	_ struct{} `cbor:",toarray"`
	// CPU is in millicores.
	CPU   int64
	MemMB int64
	GPUs  int64
}

// Add returns the sum of a and b.
func (a Resources) Add(b Resources) Resources {
	return Resources{CPU: a.CPU + b.CPU, MemMB: a.MemMB + b.MemMB, GPUs: a.GPUs + b.GPUs}
}

// Sub returns a reduced by b; a dimension may become negative.
func (a Resources) Sub(b Resources) Resources {
	return Resources{CPU: a.CPU - b.CPU, MemMB: a.MemMB - b.MemMB, GPUs: a.GPUs - b.GPUs}
}

// Fits reports whether a is within the limit in every dimension.
func (a Resources) Fits(limit Resources) bool {
	return a.CPU <= limit.CPU && a.MemMB <= limit.MemMB && a.GPUs <= limit.GPUs
}
