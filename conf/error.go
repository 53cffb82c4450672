package conf

import (
	"fmt"
	"strings"
)

// Problem is one setting that is not acceptable.
type Problem struct {
	File    string
	Section string
	Key     string
	Value   string
	// Allowed says what would be acceptable.
	Allowed string
}

// String names the file, section, key, value and what is allowed.
func (p Problem) String() string {
	return fmt.Sprintf("%s: [%s] %s = %q: %s", p.File, p.Section, p.Key, p.Value, p.Allowed)
}

// Error lists all problems of one file.
type Error struct {
	Problems []Problem
}

// Error returns one line a problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
