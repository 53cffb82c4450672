package agent

import (
	"context"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/elect"
	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/peer"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

// peersHearHolder asks the other members whether they still hear the holder, so that a partitioned process does not replace a live holder. Members that refuse the connection are not running and do not count. If none of the others answers, they are taken to hear the holder until this process has not heard it for elect.IsolationTimeout.
func (a *Agent) peersHearHolder(holder elect.Holder) bool {
	a.mu.Lock()
	silence := a.detector.Silence(a.clock.Now())
	vacant := a.detector.IsVacant()
	members := a.liveMembers()
	a.mu.Unlock()
	if vacant {
		return false
	}
	results := make(chan elect.ProbeResult, len(members))
	asked := 0
	for _, m := range members {
		if m == a.address || m == holder.Address {
			continue
		}
		asked++
		go func() { results <- a.probePeer(m, holder) }()
	}
	poll := elect.NewPoll(asked)
	for !poll.Decided() {
		poll = poll.With(<-results)
	}
	return poll.HolderHeard() || (poll.Isolated() && silence < elect.IsolationTimeout)
}

// probePeer asks one member whether it hears the holder.
func (a *Agent) probePeer(member string, holder elect.Holder) elect.ProbeResult {
	reply, err := a.peers.Probe(member, mesh.Probe{Epoch: holder.Epoch}, elect.CallTimeout)
	switch {
	case peer.IsConnectionRefused(err):
		return elect.PeerGone
	case err != nil:
		return elect.Unanswered
	case reply.Epoch > holder.Epoch || (reply.AgoMs >= 0 && time.Duration(reply.AgoMs)*time.Millisecond < elect.MaxHeardAge):
		return elect.HolderHeard
	default:
		return elect.HolderUnheard
	}
}

// claim appends a claim on the condition that the topic still ends at the given offset, so that only one process gets the epoch. If the append succeeds, this process runs as the holder.
func (a *Agent) claim(ctx context.Context, end int64) {
	value, err := work.Encode(elect.Claim{Node: a.settings.Node, Address: a.address, Boot: a.boot})
	if err != nil {
		a.log.Error("cannot encode the claim", zap.Error(err))
		return
	}
	offset, err := a.appendClaim(value, end)
	if err != nil {
		a.log.Info("append of the claim failed", zap.Int64("at", end), zap.Error(err))
		offset = a.findOwnClaim()
		if offset < 0 {
			return
		}
	}
	a.hold(ctx, elect.Epoch(offset))
}

// appendClaim appends a claim and returns its offset. While the store does not answer, it looks for the claim, because the store may have written it and lost the answer. The append itself is not repeated: its condition fails once anybody has claimed.
func (a *Agent) appendClaim(value []byte, end int64) (int64, error) {
	type result struct {
		offset int64
		err    error
	}
	answered := make(chan result, 1)
	go func() {
		offset, err := a.store.AppendAt(leadTopic, 0, platform.Record{Key: leadKey, Value: value}, end, storeTimeout)
		a.meters.storeWrites.Inc(1)
		answered <- result{offset, err}
	}()
	for looked := 0; ; looked++ {
		timer := time.NewTimer(hedgeDelay(a.storeLatency.get(), min(looked, maxHedges)))
		select {
		case r := <-answered:
			timer.Stop()
			return r.offset, r.err
		case <-timer.C:
			if offset := a.findOwnClaim(); offset >= 0 {
				return offset, nil
			}
		}
	}
}

// findOwnClaim returns the offset of this process's claim if the store wrote it but the response was lost, or -1.
func (a *Agent) findOwnClaim() int64 {
	records, _, err := a.store.ReadNewest(leadTopic, 0, storeTimeout)
	if err != nil {
		return -1
	}
	for _, r := range records {
		if h, err := elect.Decode(r.Value, r.Offset); err == nil && h.Boot == a.boot {
			a.mu.Lock()
			current, _ := a.detector.Holder()
			a.mu.Unlock()
			if h.Epoch > current.Epoch {
				return r.Offset
			}
		}
	}
	return -1
}

// holderGCPercent is the garbage collector's target while the process is the holder.
const holderGCPercent = 200

// hold runs the scheduling for an epoch until this holder is deposed or resigns. After a resignation it names a successor to the members.
func (a *Agent) hold(ctx context.Context, epoch int64) {
	self := elect.Holder{Claim: elect.Claim{Node: a.settings.Node, Address: a.address, Boot: a.boot}, Epoch: epoch}
	a.mu.Lock()
	if !a.detector.Follow(self, a.clock.Now()) {
		a.mu.Unlock()
		return
	}
	h := newHolder(a, epoch)
	a.active = h
	members := a.liveMembers()
	a.mu.Unlock()
	a.meters.epoch.Update(float64(epoch))
	a.log.Info("holding", zap.Int64("epoch", epoch))
	a.broadcast(members, mesh.Notice{Epoch: epoch, Node: a.settings.Node, Address: a.address})
	// The holder needs processor time more than memory; the process's memory limit still applies.
	followerGC := debug.SetGCPercent(holderGCPercent)
	err := h.run(ctx)
	debug.SetGCPercent(followerGC)
	a.mu.Lock()
	a.active = nil
	if !h.resigned.Load() {
		a.detector.RecordVacancy(epoch, a.clock.Now())
	}
	members = a.liveMembers()
	a.mu.Unlock()
	a.meters.epoch.Update(0)
	a.log.Info("held", zap.Int64("epoch", epoch), zap.Error(err))
	if h.resigned.Load() {
		successor := h.successor()
		a.log.Info("handing over", zap.Int64("epoch", epoch), zap.String("successor", successor), zap.Int("members", len(members)))
		a.mu.Lock()
		a.detector.RecordVacancy(epoch, a.clock.Now()+a.claimDelay(successor))
		a.mu.Unlock()
		a.broadcast(members, mesh.Notice{Epoch: epoch, Node: a.settings.Node, Address: a.address, Vacant: true, Successor: successor})
	}
}

// successorHeadStart is how long other processes wait for a named successor to claim. Two claims fit into it even if each takes several times as long as elect.ClaimStagger allows for.
const successorHeadStart = 500 * time.Millisecond

// claimDelay is added to the time that this process waits for its rank before it claims after a resignation. It is 0 if no successor was named. For the successor it is negative, so that the successor claims at once. All other processes wait successorHeadStart longer.
func (a *Agent) claimDelay(successor string) time.Duration {
	switch successor {
	case "":
		return 0
	case a.address:
		return -time.Duration(a.rank) * elect.ClaimStagger
	default:
		return successorHeadStart
	}
}

// broadcast notifies other processes of a change of the holder without waiting for their replies.
func (a *Agent) broadcast(members []string, notice mesh.Notice) {
	for _, m := range members {
		if m == a.address {
			continue
		}
		go func() {
			if err := a.peers.Notify(m, notice, elect.CallTimeout); err != nil {
				a.log.Debug("peer did not answer a notice of the holder", zap.String("peer", m), zap.Error(err))
			}
		}()
	}
}
