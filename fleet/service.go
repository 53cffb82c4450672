package fleet

import "time"

// Service runs requests on the targets of one pool.
type Service struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// RunLimitMs is how long a target may run one request before it aborts it, in milliseconds.
	RunLimitMs int   `json:"runLimitMs"`
	Version    int64 `json:"version"`
}

// ID returns the service's name.
func (s Service) ID() string { return s.Name }

// RowVersion returns the log offset of the service's last change.
func (s Service) RowVersion() int64 { return s.Version }

// RunLimit returns how long a target may run one request.
func (s Service) RunLimit() time.Duration { return time.Duration(s.RunLimitMs) * time.Millisecond }

// WithVersion returns a copy at the given version.
func (s Service) WithVersion(version int64) Service {
	s.Version = version
	return s
}

// Problems returns every reason why the service is invalid.
func (s Service) Problems() []string {
	return concat(
		notEmpty("name", s.Name),
		notEmpty("pool", s.Pool),
		atLeast("runLimitMs", s.RunLimitMs, 1),
	)
}

func (Service) row() {}
