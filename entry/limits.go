package entry

import (
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/admit"
	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/record"
	"lavenderwing.example/lavenderwing/state"
)

// idleTeamPeriod is the time between two updates of teams without requests while the log has no new entries. An expired lease is noticed earlier, because the lease is checked before each send.
const idleTeamPeriod = 200 * time.Millisecond

// limitedTeam is a team whose limit this process enforces.
type limitedTeam struct {
	name string
	id   admit.TeamID
}

// listLimitedTeams lists the configured teams.
func (n *Node) listLimitedTeams(t state.Tables) []limitedTeam {
	var teams []limitedTeam
	for _, team := range t.Teams.All() {
		if id, ok := n.admission.TeamID(team.Name); ok {
			teams = append(teams, limitedTeam{name: team.Name, id: id})
		}
	}
	return teams
}

// updateLease joins the membership or renews this process's lease, and expires the leases of processes that stopped renewing.
func (n *Node) updateLease(now time.Time) {
	if !n.stateTail.CaughtUp() || n.stopping.Load() {
		return
	}
	t := n.state.Tables()
	if r := n.session.LeaseRecord(t, now); r != nil {
		n.submit(r, func(err error) {
			n.session.LeaseRecordDone(now, err)
			if err != nil {
				n.timeline.Add(event.KindLease, n.settings.Seat, n.session.Incarnation(), err.Error())
			}
		})
	}
	// ExpireRecords needs tables that include the end of the log, so no lease is expired if the last read that reached the end started more than half a lease ago.
	if now.Sub(n.stateTail.CaughtUpAt()) > n.settings.LeaseDuration/2 {
		return
	}
	for _, r := range n.session.ExpireRecords(t, n.view().longestRun, now) {
		n.submit(r, func(err error) {
			if err == nil {
				n.timeline.Add(event.KindMember, n.settings.Seat, "lease", "another process's lease was declared expired")
			}
		})
	}
}

// updateLimits sets how many slots each team may use, and submits records that acquire missing units of limits and release unneeded ones.
func (n *Node) updateLimits(now time.Time) {
	t := n.state.Tables()
	longestRun := n.view().longestRun
	updateAll := t.Offset() != n.limitsUpdatedOffset || now.Sub(n.limitsUpdatedAt) >= idleTeamPeriod
	if updateAll {
		n.limitsUpdatedOffset = t.Offset()
		n.limitsUpdatedAt = now
	}
	for _, team := range n.limitedTeams {
		running, waiting := n.admission.TeamLoad(team.id)
		if running+waiting == 0 && !updateAll {
			continue
		}
		n.admission.SetUsableSlots(team.id, n.session.UsableSlots(t, team.name, longestRun, now))
		for _, r := range n.session.UnitRecords(team.name, running, waiting, longestRun, now) {
			n.submit(r, func(error) { n.session.UnitRecordDone(r) })
		}
	}
}

// submit appends a record to the log, and calls done with its result while holding n.mu.
func (n *Node) submit(r record.Record, done func(error)) {
	_, err := n.stateWriter.Submit(r, func(err error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		done(err)
	})
	if err != nil {
		n.log.Warn("could not submit a record to the log", zap.Error(err))
		done(err)
	}
}
