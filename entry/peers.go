package entry

import (
	"time"

	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/peer"
)

// maxReportedAge caps the age that stateAge returns, including when the state was never known to be up to date.
const maxReportedAge = 24 * time.Hour

// heartbeatPeriod is the time between heartbeats, each of which goes to the next live peer.
const heartbeatPeriod = time.Second

// maxRelayedEntries bounds the log entries that one call relays.
const maxRelayedEntries = 256

// stateAge returns the time since the state was last known to be up to date with the end of the log, from its own reads or from peers.
func (n *Node) stateAge(now time.Time) time.Duration {
	newest := n.stateTail.CaughtUpAt()
	if peerFresh := time.Unix(0, n.peerFreshAt.Load()); peerFresh.After(newest) {
		newest = peerFresh
	}
	return min(now.Sub(newest), maxReportedAge)
}

// trustsKeys reports whether the configuration is recent enough to authorize requests by key.
func (n *Node) trustsKeys(now time.Time) bool {
	return n.stateAge(now) <= n.settings.MaxStateAge+n.settings.MaxIsolation
}

// observePeerState records how recent the state is according to a peer. The peer's age counts from the time at which the call was sent, so that no delay or pause makes the state look newer than it is.
func (n *Node) observePeerState(seat string, sent time.Time, reply peer.ExchangeReply) {
	if seat == n.settings.Seat {
		return
	}
	if reply.Offset > n.state.Tables().Offset() {
		n.catchUp(seat, reply.Offset)
	}
	if reply.Offset > n.state.Tables().Offset() {
		return
	}
	at := sent.Add(-time.Duration(reply.FreshMs) * time.Millisecond).UnixNano()
	for {
		old := n.peerFreshAt.Load()
		if at <= old || n.peerFreshAt.CompareAndSwap(old, at) {
			return
		}
	}
}

// catchUp reads missing entries of the state stream from a peer. It does nothing while this process can read the log, because the tail then reads the entries.
func (n *Node) catchUp(seat string, offset int64) {
	if n.clock.Now().Sub(n.stateTail.CaughtUpAt()) < heartbeatPeriod+peerTimeout {
		return
	}
	for n.state.Tables().Offset() < offset {
		before := n.state.Tables().Offset()
		reply, err := n.peers.Since(seat, peer.SinceArgs{From: before + 1}, peerTimeout)
		if err != nil {
			return
		}
		n.state.ApplyRelayed(reply.Entries)
		if n.state.Tables().Offset() == before {
			return
		}
		n.timeline.Add(event.KindLog, "state", seat, "relayed by a peer")
	}
}

// Since relays log entries to an entry process that cannot read the log.
func (n *Node) Since(args peer.SinceArgs) peer.SinceReply {
	return peer.SinceReply{Entries: n.state.EntriesFrom(args.From, maxRelayedEntries)}
}

// heartbeatNextPeer sends a heartbeat to one peer in each heartbeatPeriod, and goes through the live peers in turn. If the peer whose turn it is is suspected, no heartbeat is sent, because probeSuspects sends heartbeats to suspected peers.
func (n *Node) heartbeatNextPeer(now time.Time) {
	if now.Sub(n.lastHeartbeatAt) < heartbeatPeriod || len(n.liveSeats) < 2 {
		return
	}
	n.lastHeartbeatAt = now
	n.heartbeatsSent++
	seat := n.liveSeats[n.heartbeatsSent%len(n.liveSeats)]
	if seat == n.settings.Seat {
		n.heartbeatsSent++
		seat = n.liveSeats[n.heartbeatsSent%len(n.liveSeats)]
	}
	if n.suspects[seat].IsZero() {
		go n.probe(seat, now)
	}
}

// probeSuspects sends heartbeats to suspected peers in the background, so that no decision waits for them.
func (n *Node) probeSuspects(now time.Time) {
	for seat, since := range n.suspects {
		if now.Sub(since) < probePeriod {
			continue
		}
		n.suspects[seat] = now
		go n.probe(seat, now)
	}
}

// probe sends a heartbeat to a peer, and marks the peer as suspected if it does not reply or ends the suspicion if it does.
func (n *Node) probe(seat string, sent time.Time) {
	reply, err := n.peers.Exchange(seat, peer.ExchangeArgs{}, peerTimeout)
	if err == nil {
		n.observePeerState(seat, sent, reply)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	_, suspected := n.suspects[seat]
	switch {
	case err != nil && !suspected:
		n.markSuspected(seat, err)
	case err == nil && suspected:
		delete(n.suspects, seat)
		n.timeline.Add(event.KindMember, seat, "probe", "answers again")
	}
}

// markSuspected excludes a peer that did not reply from the choice of allocators until it replies to a probe.
func (n *Node) markSuspected(seat string, err error) {
	n.suspects[seat] = n.clock.Now()
	n.timeline.Add(event.KindMember, seat, n.settings.Seat, "no answer: "+err.Error())
}
