package entry

import "time"

// unknownAge stands for the age of evidence that was never there.
const unknownAge = 24 * time.Hour

// freshAge returns the age of the newest evidence of the log's end, read by this process or told by a peer.
func (n *Node) freshAge(now time.Time) time.Duration {
	newest := n.stateTail.AtEnd()
	if told := time.Unix(0, n.toldFresh.Load()); told.After(newest) {
		newest = told
	}
	return min(now.Sub(newest), unknownAge)
}

// heard takes a peer's word on how fresh it is.
func (n *Node) heard(freshMs int64) {
	at := n.clock.Now().Add(-time.Duration(freshMs) * time.Millisecond).UnixNano()
	if at > n.toldFresh.Load() {
		n.toldFresh.Store(at)
	}
}

// mayTrustKeys reports whether the configuration is recent enough to decide on keys.
func (n *Node) mayTrustKeys(now time.Time) bool {
	return n.freshAge(now) <= n.settings.FreshFor+n.settings.IsolatedFor
}
