package entry

import (
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/admit"
	"lavenderwing.example/lavenderwing/fleet"
)

// StatusReply is the status of one entry process and of the members that it knows.
type StatusReply struct {
	Seat        string `json:"seat"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	// Offset is the offset of the last log entry applied to the state.
	Offset int64 `json:"offset"`
	// Version is the version of the configuration in force.
	Version int64 `json:"version"`
	// StateAgeMs is the time since the state was last known to be up to date with the log.
	StateAgeMs int64 `json:"freshMs"`
	Ready      bool  `json:"ready"`
	LeaseValid bool  `json:"leaseValid"`
	TrustsKeys bool  `json:"trustsKeys"`
	Claims     int   `json:"claims"`
	Appends    int64 `json:"appends"`
	// PeerBytes counts the bytes sent to and received from other entry processes.
	PeerBytes int64 `json:"peerBytes"`
	// LogBytes counts the bytes of log entries read.
	LogBytes int64          `json:"logBytes"`
	Members  []fleet.Member `json:"members"`
	Teams    []TeamStatus   `json:"teams"`

	Services []admit.ServiceLoad `json:"services"`
}

// TeamStatus is the load of one team and its units of the limit in this entry process.
type TeamStatus struct {
	Team    string `json:"team"`
	Held    int    `json:"held"`
	Usable  int    `json:"usable"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

func (n *Node) serveStatus(ctx *fasthttp.RequestCtx, _ string) {
	now := n.clock.Now()
	t := n.state.Tables()
	reply := StatusReply{
		Seat:       n.settings.Seat,
		Zone:       n.settings.Zone,
		Offset:     t.Offset(),
		Version:    t.ConfigVersion(),
		StateAgeMs: n.stateAge(now).Milliseconds(),
		Ready:      n.ready(),
		TrustsKeys: n.trustsKeys(now),
		Claims:     n.claims.Len(),
		Appends:    n.stateWriter.Appends() + n.claimWriter.Appends(),
		PeerBytes:  n.peerBytes.Load(),
		LogBytes:   n.stateTail.BytesRead() + n.claimTail.BytesRead(),
		Members:    t.Members(),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.Incarnation = n.session.Incarnation()
	reply.LeaseValid = n.session.LeaseValid(now)
	for _, team := range n.limitedTeams {
		running, waiting := n.admission.TeamLoad(team.id)
		reply.Teams = append(reply.Teams, TeamStatus{
			Team: team.name, Held: n.session.HeldUnits(team.name), Usable: n.admission.UsableSlots(team.id), Running: running, Waiting: waiting,
		})
	}
	reply.Services = n.admission.Loads()
	writeJSON(ctx, fasthttp.StatusOK, reply)
}
