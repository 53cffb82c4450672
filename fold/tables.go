package fold

import (
	"github.com/benbjohnson/immutable"

	"lavenderwing.example/lavenderwing/escrow"
	"lavenderwing.example/lavenderwing/fleet"
	"lavenderwing.example/lavenderwing/record"
)

// Tables is the whole state at one log offset; it is immutable.
type Tables struct {
	offset  int64
	config  int64
	writers *immutable.Map[string, uint64]

	Teams    Rows[fleet.Team]
	Keys     Rows[fleet.Key]
	Queues   Rows[fleet.Queue]
	Services Rows[fleet.Service]
	Pools    Rows[fleet.Pool]
	Hosts    Rows[fleet.Host]

	members *immutable.SortedMap[string, fleet.Member]
	ledgers *immutable.SortedMap[string, escrow.Ledger]
}

// New returns the tables before the first record.
func New() Tables {
	return Tables{
		writers:  immutable.NewMap[string, uint64](nil),
		Teams:    newRows[fleet.Team](),
		Keys:     newRows[fleet.Key](),
		Queues:   newRows[fleet.Queue](),
		Services: newRows[fleet.Service](),
		Pools:    newRows[fleet.Pool](),
		Hosts:    newRows[fleet.Host](),
		members:  immutable.NewSortedMap[string, fleet.Member](nil),
		ledgers:  immutable.NewSortedMap[string, escrow.Ledger](nil),
	}
}

// Offset returns the offset of the last batch that was folded.
func (t Tables) Offset() int64 { return t.offset }

// Config returns the offset of the last accepted configuration change.
func (t Tables) Config() int64 { return t.config }

// Members returns all known seats, sorted.
func (t Tables) Members() []fleet.Member {
	members := make([]fleet.Member, 0, t.members.Len())
	for it := t.members.Iterator(); !it.Done(); {
		_, m, _ := it.Next()
		members = append(members, m)
	}
	return members
}

// Member returns the process that last took the seat, and false when nobody did.
func (t Tables) Member(seat string) (fleet.Member, bool) { return t.members.Get(seat) }

// Ledger returns the division of a team's limit, and the empty ledger when there is no such team.
func (t Tables) Ledger(team string) escrow.Ledger {
	l, _ := t.ledgers.Get(team)
	return l
}

// Apply folds one batch read at the given offset, and returns one error or nil for each of its records; a batch folded before gives nil errors without effect.
func (t Tables) Apply(offset int64, b record.Batch) (Tables, []error) {
	errs := make([]error, len(b.Records))
	if offset <= t.offset {
		return t, errs
	}
	t.offset = offset
	if last, ok := t.writers.Get(b.Writer); ok && b.Sequence <= last {
		return t, errs
	}
	t.writers = t.writers.Set(b.Writer, b.Sequence)
	for i, r := range b.Records {
		t, errs[i] = t.apply(r)
	}
	return t, errs
}

// Folded returns the highest sequence folded of a writer.
func (t Tables) Folded(writer string) uint64 {
	last, _ := t.writers.Get(writer)
	return last
}

func (t Tables) apply(r record.Record) (Tables, error) {
	switch r := r.(type) {
	case record.Change:
		return t.change(r)
	case record.Join:
		return t.join(r), nil
	case record.Renew:
		return t.renew(r)
	case record.Leave:
		return t.leave(r)
	case record.Expire:
		return t.expire(r)
	case record.Ask:
		return t.ask(r)
	case record.Give:
		return t.give(r)
	default:
		return t, &InvalidError{Reasons: []string{"record does not belong to this stream"}}
	}
}
