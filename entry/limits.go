package entry

import (
	"time"

	"lavenderwing.example/lavenderwing/admit"
	"lavenderwing.example/lavenderwing/escrow"
	"lavenderwing.example/lavenderwing/fold"
	"lavenderwing.example/lavenderwing/record"
)

// idleKeep is how long units are kept after the demand for them has gone.
const idleKeep = time.Second

// teamUnits is what this process knows and plans of its units of one team's limit.
type teamUnits struct {
	name     string
	row      admit.Team
	revision int64
	hold     escrow.Hold
	cap      int
	// keep bounds the use while a return of units is under way, and is negative otherwise.
	keep int
	// asking is true while an ask is under way.
	asking bool
	// peak is the highest demand of the recent past.
	peak   int
	peakAt time.Time
}

// unitsOf brings the list of teams up to date with the tables.
func (n *Node) unitsOf(t fold.Tables) {
	for _, team := range t.Teams.All() {
		if n.units[team.Name] == nil {
			row, ok := n.rows.Team(team.Name)
			if !ok {
				continue
			}
			n.units[team.Name] = &teamUnits{name: team.Name, row: row, keep: -1, revision: -1}
		}
	}
}

// keepLimits sets what each team may use now, asks for units that are lacking and returns those that are not needed.
func (n *Node) keepLimits(now time.Time) {
	t := n.state.Tables()
	valid := n.lease.valid(now)
	quarantined := n.quarantined(now)
	for _, u := range n.units {
		n.refreshUnits(t, u)
		usable := u.usable(valid, quarantined)
		n.rows.SetUsable(u.row, usable)
		running, waiting := n.rows.TeamLoad(u.row)
		u.observe(running+waiting, now)
		if valid {
			n.askUnits(u)
			n.giveUnits(u, running)
		}
	}
}

func (n *Node) refreshUnits(t fold.Tables, u *teamUnits) {
	ledger := t.Ledger(u.name)
	if ledger.Revision() == u.revision {
		return
	}
	u.revision = ledger.Revision()
	u.hold = ledger.Hold(n.settings.Seat)
	u.cap = ledger.Cap(n.settings.Seat)
	if u.hold.Incarnation != n.incarnation() {
		u.hold = escrow.Hold{}
		u.cap = 0
	}
}

func (u *teamUnits) usable(leaseValid, quarantined bool) int {
	usable := u.hold.Floor
	if leaseValid {
		usable += u.hold.Elastic
	}
	if quarantined {
		usable -= u.hold.Inherited
	}
	usable = min(usable, u.cap)
	if u.keep >= 0 {
		usable = min(usable, u.keep)
	}
	return max(usable, 0)
}

// observe follows rising demand at once and falling demand after a while.
func (u *teamUnits) observe(demand int, now time.Time) {
	if demand >= u.peak || now.Sub(u.peakAt) > idleKeep {
		u.peak = demand
		u.peakAt = now
	}
}

func (n *Node) askUnits(u *teamUnits) {
	if u.asking || u.peak == u.hold.Want || u.hold.Incarnation == "" {
		return
	}
	// A small fall that frees nothing for others is not worth a record.
	if u.peak < u.hold.Want && u.hold.Want <= u.hold.Floor {
		return
	}
	u.asking = true
	r := record.Ask{Seat: n.settings.Seat, Incarnation: n.incarnation(), Team: u.name, Want: u.peak}
	n.submitUnits(r, func() { u.asking = false })
}

func (n *Node) giveUnits(u *teamUnits, running int) {
	// Other seats lack units, or the recent demand did not need these.
	keep := max(running, u.cap)
	if u.cap >= u.hold.Held() {
		keep = max(running, u.peak, u.hold.Floor)
	}
	if u.keep >= 0 || keep >= u.hold.Held() {
		return
	}
	u.keep = keep
	r := record.Give{Seat: n.settings.Seat, Incarnation: n.incarnation(), Team: u.name, Keep: keep}
	n.submitUnits(r, func() { u.keep = -1 })
}

// submitUnits appends a record on units, and calls done under the table's lock when its verdict is known.
func (n *Node) submitUnits(r record.Record, done func()) {
	_, err := n.writer.Submit(r, func(error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		done()
	})
	if err != nil {
		done()
	}
}
