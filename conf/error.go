package conf

import (
	"fmt"
	"strings"
)

// Problem describes an invalid setting.
type Problem struct {
	File    string
	Section string
	Key     string
	Value   string
	// Allowed describes the valid values, or says that the section or the key is unknown.
	Allowed string
}

// String returns the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: [%s] %s = %q: %s", p.File, p.Section, p.Key, p.Value, p.Allowed)
}

// Error holds all problems of one settings file.
type Error struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
