package work

// Amount is a quantity of CPU, memory and GPUs that an item requests or a target offers.
type Amount struct {
	_ struct{} `cbor:",toarray"`
	// CPU is in millicores.
	CPU   int64
	MemMB int64
	GPUs  int64
}

// Plus returns the sum of a and b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{CPU: a.CPU + b.CPU, MemMB: a.MemMB + b.MemMB, GPUs: a.GPUs + b.GPUs}
}

// Minus returns a reduced by b; a dimension may become negative.
func (a Amount) Minus(b Amount) Amount {
	return Amount{CPU: a.CPU - b.CPU, MemMB: a.MemMB - b.MemMB, GPUs: a.GPUs - b.GPUs}
}

// Fits reports whether a is within the limit in every dimension.
func (a Amount) Fits(limit Amount) bool {
	return a.CPU <= limit.CPU && a.MemMB <= limit.MemMB && a.GPUs <= limit.GPUs
}
