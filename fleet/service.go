package fleet

import "time"

// Service runs requests on the targets of its one pool.
type Service struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// RunLimitMs is the longest time a target works on one request before it stops by itself.
	RunLimitMs int   `json:"runLimitMs"`
	Version    int64 `json:"version"`
}

// ID returns the service's name.
func (s Service) ID() string { return s.Name }

// At returns the log offset of the service's last change.
func (s Service) At() int64 { return s.Version }

// RunLimit returns the longest time a target works on one request.
func (s Service) RunLimit() time.Duration { return time.Duration(s.RunLimitMs) * time.Millisecond }

// WithVersion returns a copy at the given version.
func (s Service) WithVersion(version int64) Service {
	s.Version = version
	return s
}

// Problems returns every reason why the service is not acceptable.
func (s Service) Problems() []string {
	return join(
		present("name", s.Name),
		present("pool", s.Pool),
		atLeast("runLimitMs", s.RunLimitMs, 1),
	)
}

func (Service) row() {}
