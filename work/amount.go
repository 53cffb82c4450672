package work

// Resources is what a work item asks of a target or what a target offers.
type Resources struct {
	_ struct{} `cbor:",toarray"`
	// CPU is in thousandths of a core.
	CPU   int64
	MemMB int64
	GPUs  int64
}

// Add returns the sum of both amounts.
func (a Resources) Add(b Resources) Resources {
	return Resources{CPU: a.CPU + b.CPU, MemMB: a.MemMB + b.MemMB, GPUs: a.GPUs + b.GPUs}
}

// Sub returns what is left of the amount after b is taken from it.
func (a Resources) Sub(b Resources) Resources {
	return Resources{CPU: a.CPU - b.CPU, MemMB: a.MemMB - b.MemMB, GPUs: a.GPUs - b.GPUs}
}

// Fits reports whether the amount is within the limit in every dimension.
func (a Resources) Fits(limit Resources) bool {
	return a.CPU <= limit.CPU && a.MemMB <= limit.MemMB && a.GPUs <= limit.GPUs
}
