package agent

import (
	"context"
	"errors"
	"sort"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/elect"
	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/peer"
	"lavenderwing.example/lavenderwing/sched"
)

// membersInterval is how often a follower asks for the list of members, which takes about 40 bytes per member.
const membersInterval = 1500 * time.Millisecond

// memberForgetTime is how long after its last heartbeat a member counts for majorities. It is much longer than any partition during which two holders could act, and short enough that hosts which have left for good do not prevent a majority.
const memberForgetTime = 10 * time.Minute

// memberTimeout is how long a process counts as a member after its last heartbeat.
const memberTimeout = 5 * time.Second

// follow sends heartbeats to the holder while that is another process, and tries to take over when the holder is gone or cannot write to the store.
func (a *Agent) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if suspended := a.clock.AddSuspension(); suspended > elect.HolderTimeout {
			a.log.Warn("host was suspended", zap.Duration("slept", suspended))
		}
		if h := a.activeHolder(); h != nil {
			sleep(ctx, elect.HeartbeatInterval)
			continue
		}
		a.mu.Lock()
		holder, known := a.detector.Holder()
		a.mu.Unlock()
		if known && holder.Address != a.address {
			a.sendHeartbeat(holder)
		}
		a.mu.Lock()
		alive := a.detector.Alive(a.clock.Now()) && !a.detector.HolderCannotWrite()
		a.mu.Unlock()
		if !alive {
			a.findHolderOrClaim(ctx)
		}
		a.mu.Lock()
		pause := a.detector.NextHeartbeatIn(a.clock.Now())
		a.mu.Unlock()
		a.waitForCheck(ctx, pause)
	}
}

// waitForCheck waits until the next heartbeat is due or checkNow requests an earlier check.
func (a *Agent) waitForCheck(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.checkNow:
	}
}

// sendHeartbeat tells the holder that this process follows it and applies the reply.
func (a *Agent) sendHeartbeat(holder elect.Holder) {
	sent := a.clock.Now()
	a.mu.Lock()
	askMembers := a.membersEpoch != holder.Epoch || sent-a.membersUpdatedAt >= membersInterval
	a.mu.Unlock()
	reply, err := a.peers.SendHeartbeat(holder.Address, mesh.Heartbeat{
		Node: a.settings.Node, Address: a.address, Epoch: holder.Epoch, Version: a.configVersion(), Share: a.settings.CPUShare, Zone: a.settings.Zone, UptimeMs: sent.Milliseconds(), Stopping: a.stopping.Load(), AsksMembers: askMembers, StoreLost: a.storeLost(),
	}, elect.CallTimeout)
	now := a.clock.Now()
	if err != nil {
		a.log.Debug("holder did not answer a heartbeat", zap.Error(err), zap.Duration("after", now-sent))
		if peer.IsConnectionRefused(err) {
			a.mu.Lock()
			a.detector.RecordRefusal(holder.Epoch, now)
			a.mu.Unlock()
		}
		return
	}
	a.applyRawConfig(reply.Config, "holder")
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.Epoch > holder.Epoch {
		a.detector.Follow(elect.Holder{Claim: elect.Claim{Address: reply.Address}, Epoch: reply.Epoch}, now)
		return
	}
	if !reply.Holds {
		a.detector.RecordVacancy(holder.Epoch, now)
		return
	}
	if askMembers {
		a.membersEpoch, a.membersUpdatedAt = holder.Epoch, now
	}
	a.holderIsolated = reply.Isolated
	for _, m := range reply.Members {
		a.members[m.Address] = member{heardAt: now, share: m.Share, zone: a.members[m.Address].zone}
	}
	a.detector.RecordHeartbeat(holder.Epoch, reply.Troubled, now)
	a.predecessor = sched.PredecessorClock{Epoch: holder.Epoch, FencedMs: reply.FencedMs, ReadingMs: reply.WallMs, ReadAt: now}
}

// findHolderOrClaim reads the holder's record from the store and follows a new holder. It claims the next epoch if the holder is gone and the other members do not hear it either.
func (a *Agent) findHolderOrClaim(ctx context.Context) {
	asked := a.clock.Now()
	records, end, err := a.store.ReadNewest(leadTopic, 0, storeTimeout)
	a.meters.storeReads.Inc(1)
	now := a.clock.Now()
	if err != nil {
		a.recordStoreFailure("read of the holder's record", err)
		return
	}
	a.recordStoreAnswer()
	a.storeLatency.record(now - asked)
	for _, r := range records {
		h, err := elect.Decode(r.Value, r.Offset)
		if err != nil {
			a.log.Warn("cannot decode the holder's record", zap.Error(err))
			continue
		}
		a.mu.Lock()
		isNew := a.detector.Follow(h, now)
		// This process is not the holder, so a holder at its address is an earlier run of it.
		if h.Address == a.address {
			a.detector.RecordVacancy(h.Epoch, now)
		}
		a.mu.Unlock()
		if isNew {
			a.log.Info("following", zap.Int64("epoch", h.Epoch), zap.String("holder", h.Node))
			if h.Address != a.address {
				a.sendHeartbeat(h)
			}
		}
	}
	a.mu.Lock()
	a.detector.RecordStoreRead(now)
	shouldClaim := a.detector.ShouldClaim(a.rank, a.clock.Now())
	holder, known := a.detector.Holder()
	a.mu.Unlock()
	if !shouldClaim || !a.mayHold() {
		return
	}
	if known && holder.Address != a.address && !a.holderCannotWrite() && a.peersHearHolder(holder) {
		return
	}
	a.claim(ctx, end)
}

// mayHold reports whether this process can be the holder: it is not stopping and has a configuration.
func (a *Agent) mayHold() bool { return !a.stopping.Load() && a.config.Load() != nil }

// holderCannotWrite reports whether the holder says that it cannot write to the store.
func (a *Agent) holderCannotWrite() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detector.HolderCannotWrite()
}

// forgetMembers removes the members that have not been heard for memberForgetTime; the caller holds the lock.
func (a *Agent) forgetMembers(now time.Duration) {
	for address, m := range a.members {
		if now-m.heardAt >= memberForgetTime {
			delete(a.members, address)
		}
	}
}

// liveMembers returns the sorted addresses of members heard within memberTimeout; the caller holds the lock.
func (a *Agent) liveMembers() []string {
	now := a.clock.Now()
	var list []string
	for address, m := range a.members {
		if now-m.heardAt < memberTimeout {
			list = append(list, address)
		}
	}
	sort.Strings(list)
	return list
}

// unsent reports whether a call to a peer failed because no connection could be opened, so that the peer received nothing.
func unsent(err error) bool {
	var unreachable *peer.UnreachableError
	return errors.As(err, &unreachable)
}
