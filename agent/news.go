package agent

import (
	"time"

	"lavenderwing.example/lavenderwing/lead"
	"lavenderwing.example/lavenderwing/mesh"
)

// HandleHeartbeat answers a follower.
func (a *Agent) HandleHeartbeat(b mesh.Heartbeat) mesh.HeartbeatReply {
	now := a.clock.Now()
	reply := mesh.HeartbeatReply{WallMs: time.Now().UnixMilli()}
	a.mu.Lock()
	h := a.holder
	holder, _ := a.watch.Holder()
	reply.Epoch, reply.Address = holder.Epoch, holder.Address
	reply.Holds = h != nil && h.epoch == holder.Epoch
	a.members[b.Address] = member{heardAt: now, share: b.Share}
	a.members[a.address] = member{heardAt: now, share: a.settings.CPUShare}
	for _, address := range a.membersFor(b) {
		reply.Members = append(reply.Members, mesh.Member{Address: address, Share: a.members[address].share})
	}
	followers := len(a.members)
	a.mu.Unlock()
	if h != nil {
		reply.Troubled = h.troubled()
		if b.Epoch > h.epoch {
			h.depose("a follower knows a later holder")
		}
	}
	if c := a.config.Load(); c != nil && c.config.Version > b.Version && (b.StoreLost || a.link.fits(len(c.raw)*followers)) {
		reply.Config = c.raw
	}
	return reply
}

// membersFor returns the members if a heartbeat asks for them; the caller holds the lock.
func (a *Agent) membersFor(b mesh.Heartbeat) []string {
	if !b.AsksMembers {
		return nil
	}
	return a.memberList()
}

// HandleProbe answers a process that does not hear from the holder.
func (a *Agent) HandleProbe(s mesh.Probe) mesh.ProbeReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	holder, _ := a.watch.Holder()
	seen := mesh.ProbeReply{AgoMs: -1, Epoch: holder.Epoch}
	if ago, ok := a.watch.HeardAgo(s.Epoch, a.clock.Now()); ok {
		seen.AgoMs = ago.Milliseconds()
	}
	return seen
}

// HandleNotice takes the word of a new holder, or of one that gives up.
func (a *Agent) HandleNotice(n mesh.Notice) {
	now := a.clock.Now()
	a.configureRaw(n.Config, "holder")
	a.mu.Lock()
	if n.Vacant {
		a.watch.RecordVacancy(n.Epoch, now+a.deference(n.Successor))
	} else {
		a.watch.Follow(lead.Holder{Claim: lead.Claim{Node: n.Node, Address: n.Address}, Epoch: n.Epoch}, now)
	}
	h := a.holder
	a.mu.Unlock()
	signal(a.kick)
	if h != nil && n.Epoch > h.epoch {
		h.depose("another process holds")
	}
}
