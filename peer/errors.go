package peer

import "fmt"

// SilentError reports a peer that did not answer in time.
type SilentError struct {
	Seat string
}

// Error names the peer.
func (e *SilentError) Error() string { return fmt.Sprintf("peer %s did not answer in time", e.Seat) }
