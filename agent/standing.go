package agent

import (
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/sched"
)

// troubled reports whether the holder cannot write to the store.
func (h *Holder) troubled() bool {
	return h.progress.failing() > troubledAfter || h.intake.stream.failing() > troubledAfter
}

// mayRenew reports whether the holder may renew leases: the store has lately taken its word, or most processes follow it, so that nobody else can have taken over for long.
func (h *Holder) mayRenew() bool {
	now := h.agent.clock.Now()
	at := max(h.progress.confirmedAt.Load(), h.intake.stream.confirmedAt.Load(), h.confirmedAt.Load())
	if now-time.Duration(at) < sched.MaxUnconfirmedRenewal {
		return true
	}
	h.agent.mu.Lock()
	defer h.agent.mu.Unlock()
	followers := 0
	for address, m := range h.agent.members {
		if address != h.agent.address && now-m.heardAt < followerFresh {
			followers++
		}
	}
	return 2*(followers+1) > len(h.agent.members)
}

// followerFresh is how recently a follower must have sent a heartbeat to count, three of them.
const followerFresh = time.Second

// strongerBy is how much more of a core another process must have for the holder to yield to it; a takeover costs about half a second.
const strongerBy = 1.5

// yieldAfter is how often the holder looks for a stronger process, about three heartbeats and a takeover.
const yieldAfter = 700 * time.Millisecond

// successor returns the strongest process that follows this one lately, if it is much stronger or this one stops.
func (h *Holder) successor() string {
	a := h.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	best, successor := a.settings.CPUShare*strongerBy, ""
	if a.stopping.Load() {
		best = 0
	}
	for _, address := range a.memberList() {
		m := a.members[address]
		if address != a.address && now-m.heardAt < followerFresh && m.share > best {
			best, successor = m.share, address
		}
	}
	return successor
}

// yield hands the scheduling over as soon as a much stronger process follows.
func (h *Holder) yield() {
	for sleep(h.ctx, yieldAfter) {
		successor := h.successor()
		if successor == "" || h.troubled() {
			continue
		}
		h.agent.log.Info("yielding", zap.Int64("epoch", h.epoch), zap.String("to", successor))
		h.resigned.Store(true)
		h.depose("a stronger process follows")
		return
	}
}

// confirmEvery is how often the holder's record is read when nothing else shows that the epoch stands.
const confirmEvery = time.Second

// confirm looks for a later holder in the store.
func (h *Holder) confirm() {
	for sleep(h.ctx, confirmEvery) {
		at := max(h.progress.confirmedAt.Load(), h.intake.stream.confirmedAt.Load())
		if h.agent.clock.Now()-time.Duration(at) < confirmEvery {
			continue
		}
		asked := h.agent.clock.Now()
		_, end, err := h.agent.store.ReadNewest(leadTopic, 0, storeWait)
		h.agent.meters.storeReads.Inc(1)
		if err != nil {
			h.agent.storeFailed("holder's record", err)
			continue
		}
		h.confirmedAt.Store(int64(asked))
		if end > h.epoch {
			h.depose("the store holds a later claim")
		}
	}
}
