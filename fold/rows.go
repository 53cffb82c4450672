package fold

import (
	"github.com/benbjohnson/immutable"

	"lavenderwing.example/lavenderwing/fleet"
)

// Rows is an immutable table of one kind of row, sorted by name.
type Rows[R fleet.Versioned[R]] struct {
	byName *immutable.SortedMap[string, R]
	owners *immutable.Map[string, string]
}

func newRows[R fleet.Versioned[R]]() Rows[R] {
	return Rows[R]{byName: immutable.NewSortedMap[string, R](nil), owners: immutable.NewMap[string, string](nil)}
}

// Get returns the row of that name, and false when there is none.
func (r Rows[R]) Get(name string) (R, bool) { return r.byName.Get(name) }

// Len returns the number of rows.
func (r Rows[R]) Len() int { return r.byName.Len() }

// All returns the rows in order of their names.
func (r Rows[R]) All() []R {
	rows := make([]R, 0, r.byName.Len())
	for it := r.byName.Iterator(); !it.Done(); {
		_, row, _ := it.Next()
		rows = append(rows, row)
	}
	return rows
}

// put replaces the row if it is still at the expected version, and returns a *StaleError otherwise.
func (r Rows[R]) put(row R, expect, version int64, operator string) (Rows[R], error) {
	have := int64(0)
	if old, ok := r.byName.Get(row.ID()); ok {
		have = old.At()
	}
	if have != expect {
		winner, _ := r.owners.Get(row.ID())
		return r, &StaleError{Row: row.ID(), Expect: expect, Version: have, Winner: winner}
	}
	r.byName = r.byName.Set(row.ID(), row.WithVersion(version))
	r.owners = r.owners.Set(row.ID(), operator)
	return r, nil
}
