package entry

import (
	"time"

	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/peer"
)

// unknownAge stands for the age of evidence that was never there.
const unknownAge = 24 * time.Hour

// heartbeatPeriod is how often one other process, each in turn, is asked for a heartbeat.
const heartbeatPeriod = time.Second

// relayMost is the most entries of the log that one call relays.
const relayMost = 256

// freshAge returns the age of the newest evidence that the state here is the log's end.
func (n *Node) freshAge(now time.Time) time.Duration {
	newest := n.stateTail.CaughtUpAt()
	if told := time.Unix(0, n.toldFresh.Load()); told.After(newest) {
		newest = told
	}
	return min(now.Sub(newest), unknownAge)
}

// mayTrustKeys reports whether the configuration is recent enough to decide on keys.
func (n *Node) mayTrustKeys(now time.Time) bool {
	return n.freshAge(now) <= n.settings.MaxStateAge+n.settings.MaxIsolation
}

// observeFresh takes a peer's report on the log's end; the report counts from before the call was sent, so that no delay or pause makes it look newer than it is.
func (n *Node) observeFresh(seat string, sent time.Time, reply peer.ExchangeReply) {
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
		old := n.toldFresh.Load()
		if at <= old || n.toldFresh.CompareAndSwap(old, at) {
			return
		}
	}
}

// catchUp takes from a peer what it has read of the state stream and this process has not; while the log itself answers, it is left to the tail.
func (n *Node) catchUp(seat string, offset int64) {
	if n.clock.Now().Sub(n.stateTail.CaughtUpAt()) < heartbeatPeriod+answerWait {
		return
	}
	for n.state.Tables().Offset() < offset {
		before := n.state.Tables().Offset()
		reply, err := n.peers.Since(seat, peer.SinceArgs{From: before + 1}, answerWait)
		if err != nil {
			return
		}
		n.state.ApplyRelayed(reply.Entries)
		if n.state.Tables().Offset() == before {
			return
		}
		n.line.Add(event.KindLog, "state", seat, "relayed by a peer")
	}
}

// Since answers another entry process that cannot read the log.
func (n *Node) Since(args peer.SinceArgs) peer.SinceReply {
	return peer.SinceReply{Entries: n.state.EntriesFrom(args.From, relayMost)}
}

// heartbeat asks the next live process for a heartbeat.
func (n *Node) heartbeat(now time.Time) {
	if now.Sub(n.heartbeatAt) < heartbeatPeriod || len(n.seats) < 2 {
		return
	}
	n.heartbeatAt = now
	n.heartbeats++
	seat := n.seats[n.heartbeats%len(n.seats)]
	if seat == n.settings.Seat {
		n.heartbeats++
		seat = n.seats[n.heartbeats%len(n.seats)]
	}
	if n.suspects[seat].IsZero() {
		go n.probe(seat, now)
	}
}

// probeSuspects asks peers that did not answer for a heartbeat, without letting any decision wait for it.
func (n *Node) probeSuspects(now time.Time) {
	for seat, since := range n.suspects {
		if now.Sub(since) < probePeriod {
			continue
		}
		n.suspects[seat] = now
		go n.probe(seat, now)
	}
}

func (n *Node) probe(seat string, sent time.Time) {
	reply, err := n.peers.Exchange(seat, peer.ExchangeArgs{}, answerWait)
	if err == nil {
		n.observeFresh(seat, sent, reply)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	_, suspected := n.suspects[seat]
	switch {
	case err != nil && !suspected:
		n.suspect(seat, err)
	case err == nil && suspected:
		delete(n.suspects, seat)
		n.line.Add(event.KindMember, seat, "probe", "answers again")
	}
}

// suspect passes over a peer that did not answer until it does.
func (n *Node) suspect(seat string, err error) {
	n.suspects[seat] = n.clock.Now()
	n.line.Add(event.KindMember, seat, n.settings.Seat, "no answer: "+err.Error())
}
