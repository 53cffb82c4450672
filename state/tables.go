package state

import (
	"github.com/benbjohnson/immutable"

	"lavenderwing.example/lavenderwing/escrow"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/record"
)

// Tables is the state after all batches up to one log offset; it is immutable.
type Tables struct {
	offset        int64
	configVersion int64
	lastSequences *immutable.Map[string, uint64]

	Teams    Rows[fleet.Team]
	Keys     Rows[fleet.Key]
	Queues   Rows[fleet.Queue]
	Services Rows[fleet.Service]
	Pools    Rows[fleet.Pool]
	Hosts    Rows[fleet.Host]

	members *immutable.SortedMap[string, fleet.Member]
	ledgers *immutable.SortedMap[string, escrow.Ledger]
}

// New returns the empty tables, to which no batch has been applied.
func New() Tables {
	return Tables{
		lastSequences: immutable.NewMap[string, uint64](nil),
		Teams:         newRows[fleet.Team](),
		Keys:          newRows[fleet.Key](),
		Queues:        newRows[fleet.Queue](),
		Services:      newRows[fleet.Service](),
		Pools:         newRows[fleet.Pool](),
		Hosts:         newRows[fleet.Host](),
		members:       immutable.NewSortedMap[string, fleet.Member](nil),
		ledgers:       immutable.NewSortedMap[string, escrow.Ledger](nil),
	}
}

// Offset returns the offset of the last log entry that was processed, whether or not its batch had an effect.
func (t Tables) Offset() int64 { return t.offset }

// ConfigVersion returns the version of the configuration, which is the offset of its last accepted change.
func (t Tables) ConfigVersion() int64 { return t.configVersion }

// Members returns the entry process that last joined at each seat, live or not, sorted by seat.
func (t Tables) Members() []fleet.Member {
	members := make([]fleet.Member, 0, t.members.Len())
	for it := t.members.Iterator(); !it.Done(); {
		_, m, _ := it.Next()
		members = append(members, m)
	}
	return members
}

// Member returns the entry process that last joined at the seat, and false if none did.
func (t Tables) Member(seat string) (fleet.Member, bool) { return t.members.Get(seat) }

// Ledger returns the division of a team's limit over the seats, or the empty ledger if there is no such team.
func (t Tables) Ledger(team string) escrow.Ledger {
	l, _ := t.ledgers.Get(team)
	return l
}

// Apply returns the tables after the batch at the given offset, with an error or nil for each record. An entry at an offset that was processed before has no effect. A batch that was applied before, at a lower offset, only advances the offset. The errors are nil in both cases.
func (t Tables) Apply(offset int64, b record.Batch) (Tables, []error) {
	errs := make([]error, len(b.Records))
	if offset <= t.offset {
		return t, errs
	}
	t.offset = offset
	if last, ok := t.lastSequences.Get(b.Writer); ok && b.Sequence <= last {
		return t, errs
	}
	t.lastSequences = t.lastSequences.Set(b.Writer, b.Sequence)
	for i, r := range b.Records {
		t, errs[i] = t.applyRecord(r)
	}
	return t, errs
}

// LastSequence returns the highest sequence number among the writer's applied batches, or zero if there are none.
func (t Tables) LastSequence(writer string) uint64 {
	last, _ := t.lastSequences.Get(writer)
	return last
}

func (t Tables) applyRecord(r record.Record) (Tables, error) {
	switch r := r.(type) {
	case record.Change:
		return t.applyChange(r)
	case record.Join:
		return t.applyJoin(r), nil
	case record.Renew:
		return t.applyRenew(r)
	case record.Leave:
		return t.applyLeave(r)
	case record.Expire:
		return t.applyExpire(r)
	case record.AcquireUnits:
		return t.applyAcquireUnits(r)
	case record.ReleaseUnits:
		return t.applyReleaseUnits(r)
	default:
		return t, &InvalidError{Reasons: []string{"record does not belong to this stream"}}
	}
}
