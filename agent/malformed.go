package agent

import (
	"sync"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/platform"
)

// maxMalformedLogged bounds the memory for the records that have been logged; any further ones are not logged.
const maxMalformedLogged = 4096

// malformedRecord identifies a record that cannot be decoded. The value is not part of it, because a writer that repeats an entry changes its sequence number.
type malformedRecord struct{ message, key, cause string }

// malformedLog remembers which records have been logged, because their writers repeat them with every report.
type malformedLog struct {
	mu     sync.Mutex
	logged map[malformedRecord]bool
}

// add reports whether the record has not been added before.
func (m *malformedLog) add(r malformedRecord) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.logged[r] || len(m.logged) >= maxMalformedLogged {
		return false
	}
	if m.logged == nil {
		m.logged = map[malformedRecord]bool{}
	}
	m.logged[r] = true
	return true
}

// logMalformed logs a record that cannot be decoded, once for each key and cause.
func (a *Agent) logMalformed(message string, u platform.MalformedUpdate) {
	if a.malformed.add(malformedRecord{message: message, key: u.Key, cause: u.Cause.Error()}) {
		a.log.Error(message, zap.String("key", u.Key), zap.Error(u.Cause))
	}
}
