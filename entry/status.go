package entry

import (
	"github.com/valyala/fasthttp"

	"lavenderwing.example/lavenderwing/admit"
	"lavenderwing.example/lavenderwing/fleet"
)

// StatusReply is what one entry process says of itself and of the others it knows.
type StatusReply struct {
	Seat        string `json:"seat"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	// Offset is the last log offset folded.
	Offset int64 `json:"offset"`
	// Version is the configuration in force.
	Version int64 `json:"version"`
	// StateAgeMs is the age of the newest evidence of the log's end.
	StateAgeMs    int64 `json:"freshMs"`
	Ready      bool  `json:"ready"`
	LeaseValid bool  `json:"leaseValid"`
	TrustsKeys bool  `json:"trustsKeys"`
	Claims     int   `json:"claims"`
	Appends    int64 `json:"appends"`
	// PeerBytes counts what was sent to and received from other entry processes.
	PeerBytes int64 `json:"peerBytes"`
	// LogBytes counts the log entries read.
	LogBytes int64          `json:"logBytes"`
	Members  []fleet.Member `json:"members"`
	Teams    []TeamStatus   `json:"teams"`

	Services []admit.ServiceLoad `json:"services"`
}

// TeamStatus is one team's use of this entry process.
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
		StateAgeMs:    n.freshAge(now).Milliseconds(),
		Ready:      n.ready(),
		TrustsKeys: n.mayTrustKeys(now),
		Claims:     n.claims.Len(),
		Appends:    n.writer.Appends() + n.claimWriter.Appends(),
		PeerBytes:  n.peerBytes.Load(),
		LogBytes:   n.stateTail.BytesRead() + n.claimTail.BytesRead(),
		Members:    t.Members(),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.Incarnation = n.keeper.Incarnation()
	reply.LeaseValid = n.keeper.LeaseValid(now)
	for _, team := range n.limited {
		running, waiting := n.rows.TeamLoad(team.row)
		reply.Teams = append(reply.Teams, TeamStatus{
			Team: team.name, Held: n.keeper.HeldUnits(team.name), Usable: n.rows.UsableSlots(team.row), Running: running, Waiting: waiting,
		})
	}
	reply.Services = n.rows.Loads()
	writeJSON(ctx, fasthttp.StatusOK, reply)
}
