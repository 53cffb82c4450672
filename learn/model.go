package learn

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// MinRuns is the number of runs from which a level is used: the standard error of the typical time is then below a tenth if run times vary by half.
	MinRuns = 30
	// minShapeRuns is the number of runs from which a finer level uses its own distribution instead of the queue's; a tail of 3 in 100 then shows some six times.
	minShapeRuns = 200
	// shapeFromRuns is the number of runs of a queue from which the ratios of actual to predicted times are kept; predictions are poor before.
	shapeFromRuns = 10
	// tailFactor is the ratio of actual to predicted time beyond which a run belongs to the tail. Of a body that varies by a factor of 1.5, less than one run in 1,000 is beyond it.
	tailFactor = 4.0
	// maxTailShare is the part of the runs beyond tailFactor from which they count as the body, so that a lasting change of the run times is learned.
	maxTailShare = 0.25
	// tailRate is the weight of the newest run in the measured share of the tail.
	tailRate = 0.03
	// maxQueues bounds the queues, and maxFineLevels the finer levels that are kept; at 2 KB each they take some 4 MB.
	maxQueues     = 1000
	maxFineLevels = 2000
	// maxNameBytes is the longest name of an image that makes a kind of its own, because callers choose the names.
	maxNameBytes = 100
	// maxTook bounds the run times that are learned.
	maxTook = 24 * time.Hour
)

// Key says which runs an item's run time resembles.
type Key struct {
	Queue string
	Team  string
	// Image is the program that the item runs, empty if it is not known.
	Image string
}

// levelKey identifies a level: the queue alone, or one of its teams or kinds.
type levelKey struct {
	queue string
	team  string
	// kind is the image, or the class of the declared time after a zero byte.
	kind string
}

func (k levelKey) coarse() bool { return k.team == "" && k.kind == "" }

func compareKeys(a, b levelKey) int {
	return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.team, b.team), cmp.Compare(a.kind, b.kind))
}

// kindOf returns the kind of an item: its image, or the power of two at or below its declared time; empty if neither is known.
func kindOf(image string, declaredMs int64) string {
	switch {
	case image != "" && len(image) <= maxNameBytes:
		return image
	case declaredMs <= 0:
		return ""
	}
	return "\x00" + string(rune('0'+bits.Len64(uint64(declaredMs))))
}

// Model holds what finished runs have shown. It is not safe for concurrent use.
type Model struct {
	levels map[levelKey]*level
	queues int
}

// New returns an empty model.
func New() *Model { return &Model{levels: map[levelKey]*level{}} }

// Observe adds a run that succeeded and took the given time; at is the present time, by which the levels that were used last are kept. The declared time is in milliseconds, 0 if there is none.
func (m *Model) Observe(key Key, took time.Duration, declaredMs int64, at time.Duration) {
	coarse := m.ensureLevel(levelKey{queue: key.Queue}, at)
	if coarse == nil {
		return
	}
	o := observation{actual: math.Log(max(float64(min(took, maxTook))/float64(time.Millisecond), 1)), declared: logDeclared(declaredMs)}
	predicted := coarse.predict(o.declared)
	if best := m.best(key, declaredMs); best != nil {
		predicted = best.predict(o.declared)
	}
	o.coarse = coarse.predict(o.declared)
	residual := o.actual - predicted
	o.tail = coarse.runs >= shapeFromRuns && residual > math.Log(tailFactor)
	var fine [2]*level
	if key.Team != "" {
		fine[0] = m.ensureLevel(levelKey{queue: key.Queue, team: key.Team}, at)
	}
	if kind := kindOf(key.Image, declaredMs); kind != "" {
		fine[1] = m.ensureLevel(levelKey{queue: key.Queue, kind: kind}, at)
	}
	for _, l := range fine {
		if l == nil {
			continue
		}
		if l.runs >= MinRuns {
			l.shape.add(math.Exp(o.actual - l.predict(o.declared)))
		}
		l.observe(o, coarse.tailShare < maxTailShare)
	}
	if coarse.runs >= shapeFromRuns {
		coarse.shape.add(math.Exp(residual))
	}
	coarse.observe(o, coarse.tailShare < maxTailShare)
}

// logDeclared is the logarithm of a declared time, NaN if there is none.
func logDeclared(ms int64) float64 {
	if ms <= 0 {
		return math.NaN()
	}
	return math.Log(float64(ms))
}

// Runs is the number of runs of a queue that were observed, those before a hand-over included.
func (m *Model) Runs(queue string) float64 {
	if l := m.levels[levelKey{queue: queue}]; l != nil {
		return l.runs
	}
	return 0
}

// DeclaredWeight is the part of a difference between declared times that the queue's run times follow, from 0 to 1.
func (m *Model) DeclaredWeight(queue string) float64 {
	if l := m.levels[levelKey{queue: queue}]; l != nil {
		return l.slope()
	}
	return 0
}

// Queues returns the names of the queues with observed runs, in order.
func (m *Model) Queues() []string {
	var names []string
	for k := range m.levels {
		if k.coarse() {
			names = append(names, k.queue)
		}
	}
	slices.Sort(names)
	return names
}

// Drop forgets a queue.
func (m *Model) Drop(queue string) {
	for k := range m.levels {
		if k.queue == queue {
			m.remove(k)
		}
	}
}

// Expect returns what to expect of an item's run time; Runs is below MinRuns and the times are 0 while too little is known of the queue.
func (m *Model) Expect(key Key, declaredMs int64) Expectation {
	coarse := m.levels[levelKey{queue: key.Queue}]
	if coarse == nil || coarse.runs < MinRuns {
		return Expectation{Runs: m.Runs(key.Queue)}
	}
	l, s := coarse, coarse.shape.summary()
	if best := m.best(key, declaredMs); best != nil && best != coarse {
		l = best
		if best.runs >= minShapeRuns {
			s = best.shape.summary()
		}
	}
	typical := math.Exp(l.predict(logDeclared(declaredMs)))
	return Expectation{
		Median: typical * s.median, Mean: typical * s.mean, P90: typical * s.p90, P99: typical * s.p99,
		Runs: coarse.runs, typical: typical, shape: s,
	}
}

// Remaining returns the expected remaining time of a run that has lasted the given time, 0 while too little is known of the queue.
func (m *Model) Remaining(key Key, declaredMs int64, ran time.Duration) time.Duration {
	e := m.Expect(key, declaredMs)
	return e.Remaining(ran)
}

// best returns the level that predicts the key's runs best, nil if the queue is not known: the finer level with enough runs whose errors are smallest relative to those of the queue's prediction for the same runs, or the queue itself if none is better.
func (m *Model) best(key Key, declaredMs int64) *level {
	best, least := m.levels[levelKey{queue: key.Queue}], 1.0
	if best == nil {
		return nil
	}
	var fine [2]*level
	if key.Team != "" {
		fine[0] = m.levels[levelKey{queue: key.Queue, team: key.Team}]
	}
	if kind := kindOf(key.Image, declaredMs); kind != "" {
		fine[1] = m.levels[levelKey{queue: key.Queue, kind: kind}]
	}
	for _, l := range fine {
		if l == nil || l.runs < MinRuns {
			continue
		}
		if ratio := l.loss / (l.coarseLoss + 1e-9); ratio < least {
			best, least = l, ratio
		}
	}
	return best
}

// ensureLevel returns the level and adds it if it is new; it returns nil for a new queue if there are too many. A new finer level evicts those that have been unused for longest if there are too many.
func (m *Model) ensureLevel(k levelKey, at time.Duration) *level {
	if l, ok := m.levels[k]; ok {
		l.usedAt = at
		return l
	}
	switch {
	case k.coarse() && m.queues >= maxQueues:
		return nil
	case k.coarse():
		m.queues++
	case len(m.levels)-m.queues >= maxFineLevels:
		m.evict()
	}
	l := &level{usedAt: at}
	m.levels[k] = l
	return l
}

// evict removes the tenth of the finer levels that have been unused for longest, so that it runs rarely.
func (m *Model) evict() {
	var keys []levelKey
	for k := range m.levels {
		if !k.coarse() {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b levelKey) int {
		return cmp.Or(cmp.Compare(m.levels[a].usedAt, m.levels[b].usedAt), compareKeys(a, b))
	})
	for _, k := range keys[:len(keys)/10+1] {
		m.remove(k)
	}
}

func (m *Model) remove(k levelKey) {
	delete(m.levels, k)
	if k.coarse() {
		m.queues--
	}
}
