package agent

import (
	"context"
	"errors"
	"sort"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/lead"
	"lavenderwing.example/lavenderwing/mesh"
	"lavenderwing.example/lavenderwing/peer"
)

// membersEvery is how often a follower asks for all members; each reply with them takes about forty bytes a process.
const membersEvery = 1500 * time.Millisecond

// memberKept is how long a process counts as a member after its last heartbeat.
const memberKept = 5 * time.Second

// follow keeps an eye on the holder and takes its place when it is gone.
func (a *Agent) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if slept := a.clock.AddSuspension(); slept > lead.HolderTimeout {
			a.log.Warn("host was suspended", zap.Duration("slept", slept))
		}
		if h := a.current(); h != nil {
			sleep(ctx, lead.HeartbeatInterval)
			continue
		}
		a.mu.Lock()
		holder, known := a.watch.Holder()
		a.mu.Unlock()
		if known && holder.Address != a.address {
			a.beat(holder)
		}
		a.mu.Lock()
		alive := a.watch.Alive(a.clock.Now()) && !a.watch.HolderCannotWrite()
		a.mu.Unlock()
		if !alive {
			a.lookForHolder(ctx)
		}
		a.mu.Lock()
		pause := a.watch.NextHeartbeatIn(a.clock.Now())
		a.mu.Unlock()
		a.nap(ctx, pause)
	}
}

// nap waits until the next heartbeat or until there is news of the holder.
func (a *Agent) nap(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.kick:
	}
}

// beat tells the holder that this process follows it and takes its news.
func (a *Agent) beat(holder lead.Holder) {
	sent := a.clock.Now()
	a.mu.Lock()
	asks := a.membersOf != holder.Epoch || sent-a.membersAt >= membersEvery
	a.mu.Unlock()
	reply, err := a.peers.SendHeartbeat(holder.Address, mesh.Heartbeat{
		Node: a.settings.Node, Address: a.address, Epoch: holder.Epoch, Version: a.version(), Share: a.settings.CPUShare, AsksMembers: asks, StoreLost: a.storeAt.Load() < 0,
	}, lead.CallTimeout)
	now := a.clock.Now()
	if err != nil {
		a.log.Debug("holder missed a heartbeat", zap.Error(err), zap.Duration("after", now-sent))
		if peer.IsConnectionRefused(err) {
			a.mu.Lock()
			a.watch.RecordRefusal(holder.Epoch, now)
			a.mu.Unlock()
		}
		return
	}
	a.configureRaw(reply.Config, "holder")
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.Epoch > holder.Epoch {
		a.watch.Follow(lead.Holder{Claim: lead.Claim{Address: reply.Address}, Epoch: reply.Epoch}, now)
		return
	}
	if !reply.Holds {
		a.watch.RecordVacancy(holder.Epoch, now)
		return
	}
	if asks {
		a.membersOf, a.membersAt = holder.Epoch, now
	}
	for _, m := range reply.Members {
		a.members[m.Address] = member{heardAt: now, share: m.Share}
	}
	a.watch.RecordHeartbeat(holder.Epoch, reply.Troubled, now)
}

// lookForHolder reads who holds and claims the place if nobody does.
func (a *Agent) lookForHolder(ctx context.Context) {
	records, end, err := a.store.ReadNewest(leadTopic, 0, storeWait)
	a.meters.storeReads.Inc(1)
	now := a.clock.Now()
	if err != nil {
		a.storeFailed("holder's record", err)
		return
	}
	a.storeAnswered()
	for _, r := range records {
		h, err := lead.Decode(r.Value, r.Offset)
		if err != nil {
			a.log.Warn("holder's record cannot be read", zap.Error(err))
			continue
		}
		a.mu.Lock()
		isNew := a.watch.Follow(h, now)
		// A holder of this address and another boot is an earlier life of this process.
		if h.Address == a.address {
			a.watch.RecordVacancy(h.Epoch, now)
		}
		a.mu.Unlock()
		if isNew {
			a.log.Info("following", zap.Int64("epoch", h.Epoch), zap.String("holder", h.Node))
			if h.Address != a.address {
				a.beat(h)
			}
		}
	}
	a.mu.Lock()
	a.watch.RecordStoreReached(now)
	should := a.watch.ShouldClaim(a.rank, a.clock.Now())
	holder, known := a.watch.Holder()
	a.mu.Unlock()
	if !should || !a.mayHold() {
		return
	}
	if known && holder.Address != a.address && !a.troubled() && a.heldElsewhere(holder) {
		return
	}
	a.claim(ctx, end)
}

// mayHold reports whether this process is fit to hold: it goes on, and knows the pools.
func (a *Agent) mayHold() bool { return !a.stopping.Load() && a.config.Load() != nil }

func (a *Agent) troubled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watch.HolderCannotWrite()
}

func (a *Agent) memberList() []string {
	now := a.clock.Now()
	var list []string
	for address, m := range a.members {
		if now-m.heardAt < memberKept {
			list = append(list, address)
		}
	}
	sort.Strings(list)
	return list
}

// unsent reports whether a call to a peer failed before it was sent.
func unsent(err error) bool {
	var unreachable *peer.UnreachableError
	return errors.As(err, &unreachable)
}
