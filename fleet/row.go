package fleet

// Row is one immutable entity of the configuration; the set of implementations is closed.
type Row interface {
	// ID returns the name that is unique within the row's own table.
	ID() string
	// Problems returns every reason why the row alone is not acceptable.
	Problems() []string
	row()
}

// Versioned is a Row whose version can be read and replaced, where the version is the log offset of its last change.
type Versioned[R any] interface {
	Row
	// At returns the version.
	At() int64
	// WithVersion returns a copy at the given version.
	WithVersion(version int64) R
}

// atLeast reports a problem when value is below floor.
func atLeast(name string, value, floor int) []string {
	if value >= floor {
		return nil
	}
	return []string{name + " is too small"}
}

// present reports a problem when value is empty.
func present(name, value string) []string {
	if value != "" {
		return nil
	}
	return []string{name + " is missing"}
}

// join concatenates the problems of several checks.
func join(checks ...[]string) []string {
	var all []string
	for _, check := range checks {
		all = append(all, check...)
	}
	return all
}
