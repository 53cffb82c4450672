package stand

import "net"

// Faults is everything that can be made to go wrong; the zero value is a healthy platform.
type Faults struct {
	// LogDown refuses every append and read.
	LogDown bool `json:"logDown"`
	// LogDelayMs delays every append.
	LogDelayMs int `json:"logDelayMs"`
	// LoseAnswers is the number of coming appends that take effect and are then answered with an error.
	LoseAnswers int `json:"loseAnswers"`
	// CutFrom lists source networks, as CIDR, that reach neither the log nor the host list.
	CutFrom []string `json:"cutFrom"`
	// Leaving lists hosts that the platform is about to take away.
	Leaving []string `json:"leaving"`
	// Targets holds faults by host name.
	Targets map[string]TargetFault `json:"targets"`
}

// TargetFault is what goes wrong at one executor.
type TargetFault struct {
	// FailAll answers every request at once with an error, after running it.
	FailAll bool `json:"failAll"`
	// Gone closes every connection without an answer.
	Gone bool `json:"gone"`
	// SlowMs is added to each run.
	SlowMs int `json:"slowMs"`
	// Crossed answers each request with the identity of an earlier one.
	Crossed bool `json:"crossed"`
	// Truncated cuts each answer short.
	Truncated bool `json:"truncated"`
	// Draining refuses new work with a true "not run".
	Draining bool `json:"draining"`
}

// cuts reports whether the address lies in a cut network.
func (f Faults) cuts(addr net.Addr) bool {
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
