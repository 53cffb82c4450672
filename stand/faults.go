package stand

import "net"

// Faults is everything that can be made to go wrong; the zero value is a healthy platform.
type Faults struct {
	// LogDown refuses every append and read.
	LogDown bool `json:"logDown"`
	// LogDelayMs delays every append.
	LogDelayMs int `json:"logDelayMs"`
	// LoseAppendReplies is the number of coming appends that take effect and are then answered with an error.
	LoseAppendReplies int `json:"loseAnswers"`
	// BlockedNetworks lists source networks, as CIDR, that reach neither the log nor the host list.
	BlockedNetworks []string `json:"cutFrom"`
	// LeavingHosts lists hosts that the platform is about to take away.
	LeavingHosts []string `json:"leaving"`
	// Targets holds faults by host name.
	Targets map[string]TargetFault `json:"targets"`
}

// TargetFault is what goes wrong at one executor.
type TargetFault struct {
	// FailAll answers every request at once with an error, after running it.
	FailAll bool `json:"failAll"`
	// CloseConnections closes every connection without an answer.
	CloseConnections bool `json:"gone"`
	// ExtraRunMs is added to each run.
	ExtraRunMs int `json:"slowMs"`
	// CrossedAnswers answers each request with the identity of an earlier one.
	CrossedAnswers bool `json:"crossed"`
	// TruncatedAnswers cuts each answer short.
	TruncatedAnswers bool `json:"truncated"`
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
	for _, cidr := range f.BlockedNetworks {
		if _, network, err := net.ParseCIDR(cidr); err == nil && network.Contains(ip) {
			return true
		}
	}
	return false
}
