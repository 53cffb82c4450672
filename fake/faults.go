package fake

import "net"

// Faults holds the faults that the stand-in injects; the zero value injects none.
type Faults struct {
	// LogDown makes the stand-in answer every append, read and host list request with an error.
	LogDown bool `json:"logDown"`
	// LogDelayMs is the delay before each append to the log.
	LogDelayMs int `json:"logDelayMs"`
	// LoseAppendReplies is the number of upcoming appends that take effect but are answered with an error.
	LoseAppendReplies int `json:"loseAnswers"`
	// BlockedNetworks lists the source networks, in CIDR notation, whose calls to the log and the host list fail.
	BlockedNetworks []string `json:"cutFrom"`
	// LeavingHosts names the hosts that the host list marks as leaving, because they will be removed soon.
	LeavingHosts []string `json:"leaving"`
	// Targets holds the faults of executors by host name.
	Targets map[string]TargetFault `json:"targets"`
}

// TargetFault holds the faults of one executor.
type TargetFault struct {
	// FailAll makes the executor count every request as run and answer it with an error at once.
	FailAll bool `json:"failAll"`
	// CloseConnections makes the executor close the connection of every request without running or answering it.
	CloseConnections bool `json:"gone"`
	// ExtraRunMs is added to the duration of each run.
	ExtraRunMs int `json:"slowMs"`
	// CrossedAnswers makes the executor answer each request with the attempt identifier of the previous request.
	CrossedAnswers bool `json:"crossed"`
	// TruncatedAnswers makes the executor omit the last byte of each answer and close the connection.
	TruncatedAnswers bool `json:"truncated"`
	// Draining makes the executor refuse every request as not run.
	Draining bool `json:"draining"`
}

// blocks reports whether the address belongs to one of BlockedNetworks.
func (f Faults) blocks(addr net.Addr) bool {
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
