package entry

import (
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/admit"
	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/record"
)

// idleLimits is how often teams without requests are looked at while the log brings nothing new; a lapsed lease is seen before each send all the same.
const idleLimits = 200 * time.Millisecond

// limited is a team whose limit this process keeps.
type limited struct {
	name string
	row  admit.TeamID
}

// limitedOf lists the teams of the tables.
func (n *Node) limitedOf(t fold.Tables) []limited {
	var teams []limited
	for _, team := range t.Teams.All() {
		if row, ok := n.rows.TeamID(team.Name); ok {
			teams = append(teams, limited{name: team.Name, row: row})
		}
	}
	return teams
}

// keepLease joins or renews, and declares others' leases expired.
func (n *Node) keepLease(now time.Time) {
	if !n.stateTail.CaughtUp() || n.stopping.Load() {
		return
	}
	t := n.state.Tables()
	if r := n.keeper.LeaseRecord(t, now); r != nil {
		n.submit(r, func(err error) {
			n.keeper.LeaseRecordDone(now, err)
			if err != nil {
				n.line.Add(event.KindLease, n.settings.Seat, n.keeper.Incarnation(), err.Error())
			}
		})
	}
	if now.Sub(n.stateTail.CaughtUpAt()) > n.settings.LeaseDuration/2 {
		return
	}
	for _, r := range n.keeper.ExpireRecords(t, n.view().longestRun, now) {
		n.submit(r, func(err error) {
			if err == nil {
				n.line.Add(event.KindMember, n.settings.Seat, "lease", "another process's lease was declared expired")
			}
		})
	}
}

// keepLimits sets what each team may use now, asks for units that are lacking and returns those that are not needed.
func (n *Node) keepLimits(now time.Time) {
	t := n.state.Tables()
	longest := n.view().longestRun
	all := t.Offset() != n.limitsOffset || now.Sub(n.limitsAt) >= idleLimits
	if all {
		n.limitsOffset = t.Offset()
		n.limitsAt = now
	}
	for _, team := range n.limited {
		running, waiting := n.rows.TeamLoad(team.row)
		if running+waiting == 0 && !all {
			continue
		}
		n.rows.SetUsableSlots(team.row, n.keeper.UsableSlots(t, team.name, longest, now))
		for _, r := range n.keeper.UnitRecords(team.name, running, waiting, longest, now) {
			n.submit(r, func(error) { n.keeper.UnitRecordDone(r) })
		}
	}
}

// submit appends a record, and calls done under the tables' lock when its verdict is known.
func (n *Node) submit(r record.Record, done func(error)) {
	_, err := n.writer.Submit(r, func(err error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		done(err)
	})
	if err != nil {
		n.log.Warn("record not submitted", zap.Error(err))
		done(err)
	}
}
