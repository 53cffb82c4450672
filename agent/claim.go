package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/lead"
	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/peer"
	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/work"
)

// heldElsewhere asks other processes whether they still hear from the holder, so that a process that is cut off alone does not take its place.
func (a *Agent) heldElsewhere(holder lead.Holder) bool {
	a.mu.Lock()
	unheard := a.watch.SinceHeard(a.clock.Now())
	vacant := a.watch.IsVacant()
	members := a.memberList()
	a.mu.Unlock()
	if vacant {
		return false
	}
	said := make(chan lead.ProbeResult, len(members))
	asked := 0
	for _, m := range members {
		if m == a.address || m == holder.Address {
			continue
		}
		asked++
		go func() { said <- a.sightOf(m, holder) }()
	}
	sights := lead.NewPoll(asked)
	for !sights.Decided() {
		sights = sights.With(<-said)
	}
	return sights.HolderHeard() || (sights.Isolated() && unheard < lead.IsolationTimeout)
}

// sightOf asks one process for the holder.
func (a *Agent) sightOf(member string, holder lead.Holder) lead.ProbeResult {
	reply, err := a.peers.Probe(member, mesh.Probe{Epoch: holder.Epoch}, lead.CallTimeout)
	switch {
	case peer.IsConnectionRefused(err):
		return lead.PeerGone
	case err != nil:
		return lead.Unanswered
	case reply.Epoch > holder.Epoch || (reply.AgoMs >= 0 && time.Duration(reply.AgoMs)*time.Millisecond < lead.MaxHeardAge):
		return lead.HolderHeard
	default:
		return lead.HolderUnheard
	}
}

// claim writes a claim on the condition that nobody else did, and holds if it succeeds.
func (a *Agent) claim(ctx context.Context, end int64) {
	value, err := work.Encode(lead.Claim{Node: a.settings.Node, Address: a.address, Boot: a.boot})
	if err != nil {
		a.log.Error("claim cannot be encoded", zap.Error(err))
		return
	}
	offset, err := a.store.AppendAt(leadTopic, 0, platform.Record{Key: leadKey, Value: value}, end, storeWait)
	a.meters.storeWrites.Inc(1)
	if err != nil {
		a.log.Info("claim failed", zap.Int64("at", end), zap.Error(err))
		offset = a.lateClaim()
		if offset < 0 {
			return
		}
	}
	a.hold(ctx, lead.Epoch(offset))
}

// lateClaim returns the offset of this life's claim if it was written although no answer came, or -1.
func (a *Agent) lateClaim() int64 {
	records, _, err := a.store.ReadNewest(leadTopic, 0, storeWait)
	if err != nil {
		return -1
	}
	for _, r := range records {
		if h, err := lead.Decode(r.Value, r.Offset); err == nil && h.Boot == a.boot {
			a.mu.Lock()
			w, _ := a.watch.Holder()
			a.mu.Unlock()
			if h.Epoch > w.Epoch {
				return r.Offset
			}
		}
	}
	return -1
}

// hold runs the scheduling in this process until another one takes over.
func (a *Agent) hold(ctx context.Context, epoch int64) {
	me := lead.Holder{Claim: lead.Claim{Node: a.settings.Node, Address: a.address, Boot: a.boot}, Epoch: epoch}
	a.mu.Lock()
	if !a.watch.Follow(me, a.clock.Now()) {
		a.mu.Unlock()
		return
	}
	h := newHolder(a, epoch)
	a.holder = h
	members := a.memberList()
	a.mu.Unlock()
	a.meters.epoch.Update(float64(epoch))
	a.log.Info("holding", zap.Int64("epoch", epoch))
	a.spread(members, mesh.Notice{Epoch: epoch, Node: a.settings.Node, Address: a.address})
	err := h.run(ctx)
	a.mu.Lock()
	a.holder = nil
	if !h.resigned.Load() {
		a.watch.RecordVacancy(epoch, a.clock.Now())
	}
	members = a.memberList()
	a.mu.Unlock()
	a.meters.epoch.Update(0)
	a.log.Info("held", zap.Int64("epoch", epoch), zap.Error(err))
	if h.resigned.Load() {
		successor := h.successor()
		a.log.Info("handing over", zap.Int64("epoch", epoch), zap.String("successor", successor), zap.Int("members", len(members)))
		a.mu.Lock()
		a.watch.RecordVacancy(epoch, a.clock.Now()+a.deference(successor))
		a.mu.Unlock()
		a.spread(members, mesh.Notice{Epoch: epoch, Node: a.settings.Node, Address: a.address, Vacant: true, Successor: successor})
	}
}

// successorHead is how long others leave the place to the successor that a holder named, about two claims.
const successorHead = 500 * time.Millisecond

// deference is how long this process leaves the place to a named successor; the successor itself does not wait for its rank.
func (a *Agent) deference(successor string) time.Duration {
	switch successor {
	case "":
		return 0
	case a.address:
		return -time.Duration(a.rank) * lead.ClaimStagger
	default:
		return successorHead
	}
}

// spread tells other processes news without waiting for them.
func (a *Agent) spread(members []string, news mesh.Notice) {
	for _, m := range members {
		if m == a.address {
			continue
		}
		go func() {
			if err := a.peers.Notify(m, news, lead.CallTimeout); err != nil {
				a.log.Debug("peer missed the news", zap.String("peer", m), zap.Error(err))
			}
		}()
	}
}
