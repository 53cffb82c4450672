package agent

import (
	"time"

	"lavenderwing.example/lavenderwing/elect"
	"lavenderwing.example/lavenderwing/mesh"
)

// HandleHeartbeat answers a follower's heartbeat.
func (a *Agent) HandleHeartbeat(heartbeat mesh.Heartbeat) mesh.HeartbeatReply {
	a.clock.AddSuspension()
	now := a.clock.Now()
	reply := mesh.HeartbeatReply{WallMs: a.clock.ProcessMs()}
	a.mu.Lock()
	h := a.active
	holder, _ := a.detector.Holder()
	reply.Epoch, reply.Address = holder.Epoch, holder.Address
	reply.Holds = h != nil && h.epoch == holder.Epoch
	a.members[heartbeat.Address] = member{heardAt: now, share: heartbeat.Share, zone: heartbeat.Zone, startedAt: now - time.Duration(heartbeat.UptimeMs)*time.Millisecond, stopping: heartbeat.Stopping}
	a.members[a.address] = member{heardAt: now, share: a.settings.CPUShare, zone: a.settings.Zone}
	for _, address := range a.membersFor(heartbeat) {
		reply.Members = append(reply.Members, mesh.Member{Address: address, Share: a.members[address].share})
	}
	memberCount := len(a.members)
	a.mu.Unlock()
	if h != nil {
		reply.FencedMs = h.fencedMs.Load()
		reply.Troubled, reply.Isolated = h.cannotWrite(), h.isolated()
		if heartbeat.Epoch > h.epoch {
			h.depose("a follower knows a later epoch")
		}
	}
	if c := a.config.Load(); c != nil && c.config.Version > heartbeat.Version && (heartbeat.StoreLost || a.link.fits(len(c.raw)*memberCount)) {
		reply.Config = c.raw
	}
	return reply
}

// membersFor returns the live members if a heartbeat asks for them; the caller holds the lock.
func (a *Agent) membersFor(heartbeat mesh.Heartbeat) []string {
	if !heartbeat.AsksMembers {
		return nil
	}
	a.forgetMembers(a.clock.Now())
	return a.liveMembers()
}

// HandleProbe tells a process that does not hear the holder when this process last heard it.
func (a *Agent) HandleProbe(probe mesh.Probe) mesh.ProbeReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	holder, _ := a.detector.Holder()
	reply := mesh.ProbeReply{AgoMs: -1, Epoch: holder.Epoch}
	if ago, ok := a.detector.HeardAgo(probe.Epoch, a.clock.Now()); ok {
		reply.AgoMs = ago.Milliseconds()
	}
	return reply
}

// HandleNotice applies the notice of a new holder or of one that resigns.
func (a *Agent) HandleNotice(notice mesh.Notice) {
	now := a.clock.Now()
	a.applyRawConfig(notice.Config, "holder")
	a.mu.Lock()
	if notice.Vacant {
		a.detector.RecordVacancy(notice.Epoch, now+a.claimDelay(notice.Successor))
	} else {
		a.detector.Follow(elect.Holder{Claim: elect.Claim{Node: notice.Node, Address: notice.Address}, Epoch: notice.Epoch}, now)
		a.detector.RecordHeartbeat(notice.Epoch, false, now)
	}
	h := a.active
	a.mu.Unlock()
	signal(a.checkNow)
	if h != nil && notice.Epoch > h.epoch {
		h.depose("another process became the holder")
	}
}
