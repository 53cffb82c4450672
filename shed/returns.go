package shed

import "time"

// Bounds of the time after which a refused caller should return. Retry-After has whole seconds, so it is at least one; at most ten, since callers give up by their own timeouts.
const (
	MinReturn = time.Second
	MaxReturn = 10 * time.Second
)

// Returns hands out the times at which the refused callers of a pool should return. The zero value is ready for use.
type Returns struct {
	// next is the earliest time that has not been given to a caller, by the clock of the process.
	next time.Duration
}

// Next returns the time from now after which a caller whose job has the given work should return, and the state for the next one. Room is expected after wait; each further caller returns after the one before by the time that the room takes to serve that one's work, so that callers return in the order in which they were refused. Beyond MaxReturn all get the same time.
func (r Returns) Next(now, wait time.Duration, work float64, room Room) (Returns, time.Duration) {
	at := max(r.next, now+max(wait, MinReturn))
	after := min(at-now, MaxReturn)
	r.next = now + after + room.TimeFor(work)
	if after == MaxReturn {
		r.next = now + MaxReturn
	}
	return r, after
}

// Memory remembers when the jobs of refused callers were first refused, so that a caller that returns is not ordered after those that came later. The zero value is ready for use.
type Memory struct {
	first map[string]time.Duration
	// swept is when entries were last dropped.
	swept time.Duration
}

// Limits of a Memory.
const (
	// memoryTime is how long a refusal is remembered: a caller returns up to four times, each after MaxReturn at most.
	memoryTime = 4 * MaxReturn
	// maxRemembered bounds the entries, about a megabyte; it is some hundred refusals a second for memoryTime.
	maxRemembered = 8192
)

// Refused remembers the refusal of a job at the given time, unless it was refused before.
func (m *Memory) Refused(job string, now time.Duration) {
	if m.first == nil {
		m.first = map[string]time.Duration{}
	}
	if now-m.swept >= time.Second {
		m.swept = now
		for j, at := range m.first {
			if now-at > memoryTime {
				delete(m.first, j)
			}
		}
	}
	if _, ok := m.first[job]; !ok && len(m.first) < maxRemembered {
		m.first[job] = now
	}
}

// Waited returns the time since the job was first refused, 0 if it was not.
func (m *Memory) Waited(job string, now time.Duration) time.Duration {
	at, ok := m.first[job]
	if !ok {
		return 0
	}
	return max(now-at, 0)
}
