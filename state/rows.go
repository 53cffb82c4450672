package state

import (
	"github.com/benbjohnson/immutable"

	"lavenderwing.example/lavenderwing/fleet"
)

// Rows is an immutable table of rows of one type, sorted by name.
type Rows[R fleet.Versioned[R]] struct {
	byName        *immutable.SortedMap[string, R]
	lastOperators *immutable.Map[string, string]
}

func newRows[R fleet.Versioned[R]]() Rows[R] {
	return Rows[R]{byName: immutable.NewSortedMap[string, R](nil), lastOperators: immutable.NewMap[string, string](nil)}
}

// Get returns the row with the given name, and false if there is none.
func (r Rows[R]) Get(name string) (R, bool) { return r.byName.Get(name) }

// Len returns the number of rows.
func (r Rows[R]) Len() int { return r.byName.Len() }

// All returns all rows, sorted by name.
func (r Rows[R]) All() []R {
	rows := make([]R, 0, r.byName.Len())
	for it := r.byName.Iterator(); !it.Done(); {
		_, row, _ := it.Next()
		rows = append(rows, row)
	}
	return rows
}

// put stores the row at the new version if its current version is the expected one, and returns a *ConflictError otherwise.
func (r Rows[R]) put(row R, expected, version int64, operator string) (Rows[R], error) {
	current := int64(0)
	if existing, ok := r.byName.Get(row.ID()); ok {
		current = existing.RowVersion()
	}
	if current != expected {
		changedBy, _ := r.lastOperators.Get(row.ID())
		return r, &ConflictError{Row: row.ID(), Expected: expected, Version: current, ChangedBy: changedBy}
	}
	r.byName = r.byName.Set(row.ID(), row.WithVersion(version))
	r.lastOperators = r.lastOperators.Set(row.ID(), operator)
	return r, nil
}
