package agent

import (
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/sched"
)

// cannotWrite reports whether appends to the store have failed for longer than maxAppendFailure.
func (h *Holder) cannotWrite() bool {
	return h.progress.failingFor() > maxAppendFailure || h.intake.writer.failingFor() > maxAppendFailure
}

// mayRenew reports whether the holder may renew leases of targets. It may if the store has confirmed its epoch within sched.MaxUnconfirmedRenewal, or if this process and its followers are a majority of the members. In both cases no other process can have been the holder for long.
func (h *Holder) mayRenew() bool {
	now := h.agent.clock.Now()
	at := max(h.progress.confirmedAt.Load(), h.intake.writer.confirmedAt.Load(), h.confirmedAt.Load())
	if now-time.Duration(at) < sched.MaxUnconfirmedRenewal {
		return true
	}
	h.agent.mu.Lock()
	defer h.agent.mu.Unlock()
	followers := 0
	for address, m := range h.agent.members {
		if address != h.agent.address && now-m.heardAt < followerTimeout {
			followers++
		}
	}
	return 2*(followers+1) > len(h.agent.members)
}

// checkMayRenew is mayRenew for the drivers of all targets. It logs when the answer changes, and not for each target.
func (h *Holder) checkMayRenew() bool {
	may := h.mayRenew()
	if h.renewalsSuspended.Swap(!may) == may {
		h.agent.log.Warn("renewals of targets' leases", zap.Bool("suspended", !may), zap.Int64("epoch", h.epoch),
			zap.String("cause", "whether the store or a majority of the members confirms this holder"))
	}
	return may
}

// followerTimeout is how recently a follower must have sent a heartbeat to count as one, five heartbeat intervals.
const followerTimeout = time.Second

// yieldShareRatio is how many times the holder's CPU share a member's share must be for the holder to yield to it. It is well above 1 because a takeover costs about half a second of scheduling.
const yieldShareRatio = 1.5

// yieldInterval is the pause between two looks of the holder for a member with a larger CPU share. After a takeover, members can send three heartbeats before the first look.
const yieldInterval = 700 * time.Millisecond

// minSuccessorUptime is how long a process must have been running to be named as successor, enough to learn the configuration and the members.
const minSuccessorUptime = time.Second

// successor returns the address of the live follower that is not stopping and has the largest CPU share, or an empty string if that share is not more than yieldShareRatio times this process's own. A stopping process names a successor whatever its share. Among followers with the same share it is the one that started last: during a rolling restart, the others are still to be stopped.
func (h *Holder) successor() string {
	a := h.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	best, successor := a.settings.CPUShare*yieldShareRatio, ""
	var startedAt time.Duration
	if a.stopping.Load() {
		best = 0
	}
	for _, address := range a.liveMembers() {
		m := a.members[address]
		if address == a.address || m.stopping || now-m.heardAt >= followerTimeout {
			continue
		}
		startedLater := m.share == best && successor != "" && m.startedAt > startedAt && now-m.startedAt >= minSuccessorUptime
		if m.share > best || startedLater {
			best, successor, startedAt = m.share, address, m.startedAt
		}
	}
	return successor
}

// yieldLoop resigns as soon as a follower has a much larger CPU share, unless this holder cannot write to the store.
func (h *Holder) yieldLoop() {
	for sleep(h.ctx, yieldInterval) {
		successor := h.successor()
		if successor == "" || h.cannotWrite() {
			continue
		}
		h.agent.log.Info("yielding", zap.Int64("epoch", h.epoch), zap.String("to", successor))
		h.resigned.Store(true)
		h.depose("a process with a larger CPU share follows")
		return
	}
}

// confirmInterval is the pause between reads of the holder's record while no append confirms the epoch, and for how long an append that did confirm it makes a read unnecessary.
const confirmInterval = time.Second

// confirmLoop reads the holder's record while no append confirms the epoch, and deposes this holder if the store has a later claim.
func (h *Holder) confirmLoop() {
	for sleep(h.ctx, confirmInterval) {
		at := max(h.progress.confirmedAt.Load(), h.intake.writer.confirmedAt.Load())
		if h.agent.clock.Now()-time.Duration(at) < confirmInterval {
			continue
		}
		asked := h.agent.clock.Now()
		_, end, err := h.agent.store.ReadNewest(leadTopic, 0, storeTimeout)
		h.agent.meters.storeReads.Inc(1)
		if err != nil {
			h.agent.recordStoreFailure("read of the holder's record", err)
			continue
		}
		h.confirmedAt.Store(int64(asked))
		if end > h.epoch {
			h.depose("the store holds a later claim")
		}
	}
}
