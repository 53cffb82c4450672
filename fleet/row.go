package fleet

// Row is one immutable entity of the configuration; it is implemented only by the types of this package.
type Row interface {
	// ID returns the row's name, which is unique among the rows of the same type.
	ID() string
	// Problems returns every reason why the row is invalid, apart from references to missing rows.
	Problems() []string
	row()
}

// Versioned is a Row with a version, which is the log offset of its last change.
type Versioned[R any] interface {
	Row
	// RowVersion returns the version.
	RowVersion() int64
	// WithVersion returns a copy at the given version.
	WithVersion(version int64) R
}

// atLeast returns a problem if value is below minimum.
func atLeast(name string, value, minimum int) []string {
	if value >= minimum {
		return nil
	}
	return []string{name + " is too small"}
}

// notEmpty returns a problem if value is empty.
func notEmpty(name, value string) []string {
	if value != "" {
		return nil
	}
	return []string{name + " is missing"}
}

// concat returns the problems of several checks in one slice.
func concat(checks ...[]string) []string {
	var all []string
	for _, check := range checks {
		all = append(all, check...)
	}
	return all
}
