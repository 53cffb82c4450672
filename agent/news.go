package agent

import (
	"time"

	"lavenderwing.example/lavenderwing/lead"
	"lavenderwing.example/lavenderwing/mesh"
)

// Beat answers a follower's heartbeat.
func (a *Agent) Beat(b mesh.Beat) mesh.Beaten {
	now := a.clock.Now()
	reply := mesh.Beaten{WallMs: time.Now().UnixMilli()}
	a.mu.Lock()
	h := a.active
	holder, _ := a.detector.Holder()
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
		reply.Troubled = h.cannotWrite()
		if b.Epoch > h.epoch {
			h.depose("a follower knows a later epoch")
		}
	}
	if c := a.config.Load(); c != nil && c.config.Version > b.Version && (b.StoreLost || a.link.fits(len(c.raw)*followers)) {
		reply.Config = c.raw
	}
	return reply
}

// membersFor returns the live members if a heartbeat asks for them; the caller holds the lock.
func (a *Agent) membersFor(b mesh.Beat) []string {
	if !b.AsksMembers {
		return nil
	}
	return a.liveMembers()
}

// Sight tells a process that does not hear the holder when this process last heard it.
func (a *Agent) Sight(s mesh.Sight) mesh.Seen {
	a.mu.Lock()
	defer a.mu.Unlock()
	holder, _ := a.detector.Holder()
	seen := mesh.Seen{AgoMs: -1, Epoch: holder.Epoch}
	if ago, ok := a.detector.HeardAgo(s.Epoch, a.clock.Now()); ok {
		seen.AgoMs = ago.Milliseconds()
	}
	return seen
}

// News applies the notice of a new holder or of one that resigns.
func (a *Agent) News(n mesh.News) {
	now := a.clock.Now()
	a.applyRawConfig(n.Config, "holder")
	a.mu.Lock()
	if n.Vacant {
		a.detector.RecordVacancy(n.Epoch, now+a.claimDelay(n.Successor))
	} else {
		a.detector.Follow(lead.Holder{Claim: lead.Claim{Node: n.Node, Address: n.Address}, Epoch: n.Epoch}, now)
	}
	h := a.active
	a.mu.Unlock()
	signal(a.checkNow)
	if h != nil && n.Epoch > h.epoch {
		h.depose("another process became the holder")
	}
}
