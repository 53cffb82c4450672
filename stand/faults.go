package stand

import "net"

// Faults holds all faults that the stand-in can inject; the zero value is a healthy platform.
type Faults struct {
	// LogDown answers every append, read and host list request with an error.
	LogDown bool `json:"logDown"`
	// LogDelayMs delays every append to the log.
	LogDelayMs int `json:"logDelayMs"`
	// LoseAnswers is the number of next appends that take effect but are answered with an error.
	LoseAnswers int `json:"loseAnswers"`
	// CutFrom lists the source networks, in CIDR notation, that reach neither the log nor the host list.
	CutFrom []string `json:"cutFrom"`
	// Leaving lists the hosts that the platform announces to be removed soon.
	Leaving []string `json:"leaving"`
	// Targets holds the faults of executors by host name.
	Targets map[string]TargetFault `json:"targets"`
}

// TargetFault holds the faults of one executor.
type TargetFault struct {
	// FailAll counts every request as run and answers it with an error at once.
	FailAll bool `json:"failAll"`
	// Gone closes the connection of every request without running or answering it.
	Gone bool `json:"gone"`
	// SlowMs is added to the duration of each run.
	SlowMs int `json:"slowMs"`
	// Crossed answers each request with the attempt identifier of the previous request.
	Crossed bool `json:"crossed"`
	// Truncated omits the last byte of each answer and closes the connection.
	Truncated bool `json:"truncated"`
	// Draining refuses every request as not run.
	Draining bool `json:"draining"`
}

// blocks reports whether the address belongs to a network in CutFrom.
func (f Faults) blocks(addr net.Addr) bool {
	host, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	for _, cidr := range f.CutFrom {
		if _, network, err := net.ParseCIDR(cidr); err == nil && network.Contains(ip) {
			return true
		}
	}
	return false
}
