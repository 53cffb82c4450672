package entry

import (
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/admit"
	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/record"
)

// idleTeamPeriod is how often teams without requests are updated while the log has no new entries. A lapsed lease is noticed earlier, since it is checked before each send.
const idleTeamPeriod = 200 * time.Millisecond

// limitedTeam is a team whose limit this process enforces.
type limitedTeam struct {
	name string
	id   admit.TeamID
}

// listLimitedTeams lists the configured teams.
func (n *Node) listLimitedTeams(t fold.Tables) []limitedTeam {
	var teams []limitedTeam
	for _, team := range t.Teams.All() {
		if id, ok := n.admission.TeamID(team.Name); ok {
			teams = append(teams, limitedTeam{name: team.Name, id: id})
		}
	}
	return teams
}

// updateLease joins or renews this process's lease, and expires the leases of processes that stopped renewing.
func (n *Node) updateLease(now time.Time) {
	if !n.stateTail.Whole() || n.stopping.Load() {
		return
	}
	t := n.state.Tables()
	if r := n.keeper.LeaseRecord(t, now); r != nil {
		n.submit(r, func(err error) {
			n.keeper.LeaseRecordDone(now, err)
			if err != nil {
				n.timeline.Add(event.KindLease, n.settings.Seat, n.keeper.Incarnation(), err.Error())
			}
		})
	}
	if now.Sub(n.stateTail.AtEnd()) > n.settings.LeaseDuration/2 {
		return
	}
	for _, r := range n.keeper.ExpireRecords(t, n.view().longestRun, now) {
		n.submit(r, func(err error) {
			if err == nil {
				n.timeline.Add(event.KindMember, n.settings.Seat, "lease", "another process's lease was declared expired")
			}
		})
	}
}

// updateLimits sets how many slots each team may use, requests units of limits that are short and returns units that are not needed.
func (n *Node) updateLimits(now time.Time) {
	t := n.state.Tables()
	longestRun := n.view().longestRun
	checkAll := t.Offset() != n.limitsCheckedOffset || now.Sub(n.limitsCheckedAt) >= idleTeamPeriod
	if checkAll {
		n.limitsCheckedOffset = t.Offset()
		n.limitsCheckedAt = now
	}
	for _, team := range n.limitedTeams {
		running, waiting := n.admission.TeamLoad(team.id)
		if running+waiting == 0 && !checkAll {
			continue
		}
		n.admission.SetUsableSlots(team.id, n.keeper.UsableSlots(t, team.name, longestRun, now))
		for _, r := range n.keeper.UnitRecords(team.name, running, waiting, longestRun, now) {
			n.submit(r, func(error) { n.keeper.UnitRecordDone(r) })
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
