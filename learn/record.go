package learn

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// recordVersion is the version of the records that Encode writes and Decode reads.
const recordVersion = 1

// VersionError reports a record of a version that this program does not know.
type VersionError struct{ Version int }

// Error names the version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("record of learned run times has version %d, want %d", e.Version, recordVersion)
}

// InvalidRecordError reports a record with impossible contents.
type InvalidRecordError struct{ Reason string }

// Error names what is wrong.
func (e *InvalidRecordError) Error() string {
	return "invalid record of learned run times: " + e.Reason
}

// record is a stored model. Its form depends on the version, so that only the version is decoded first.
type record struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Body    cbor.RawMessage
}

// levelRecord is a stored level. Distributions are stored for queues only, because those of finer levels would not fit the record; they begin with the queue's.
type levelRecord struct {
	_      struct{} `cbor:",toarray"`
	Queue  string
	Team   string
	Kind   []byte
	Counts [3]float32
	// Moments holds mean, variance, declared mean, declared variance, covariance, loss, coarse loss and the share of the tail.
	Moments [8]float32
	// Bins holds the indexes of the bins of a distribution, and Weights their weights, where the newest run has a weight of about 1.
	Bins    []int16
	Weights []float32
}

// arrayHeadBytes is the most that the heads of a record with all its arrays take.
const arrayHeadBytes = 16

// Encode returns the model as a record of at most the given number of bytes. The levels with the fewest runs are left out first, finer ones before queues.
func (m *Model) Encode(maxBytes int) ([]byte, error) {
	keys := make([]levelKey, 0, len(m.levels))
	for k := range m.levels {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b levelKey) int {
		if a.coarse() != b.coarse() {
			if a.coarse() {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(m.levels[b].runs, m.levels[a].runs), compareKeys(a, b))
	})
	size := arrayHeadBytes
	var levels []cbor.RawMessage
	for _, k := range keys {
		b, err := cbor.Marshal(m.levels[k].record(k))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if size += len(b); size > maxBytes {
			break
		}
		levels = append(levels, b)
	}
	body, err := cbor.Marshal(levels)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	b, err := cbor.Marshal(&record{Version: recordVersion, Body: body})
	return b, trace.Wrap(err)
}

// Decode returns the model of a record. It fails with a VersionError or an InvalidRecordError if this program cannot use it.
func Decode(b []byte) (*Model, error) {
	var r record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return nil, trace.Wrap(&InvalidRecordError{Reason: err.Error()})
	}
	if r.Version != recordVersion {
		return nil, trace.Wrap(&VersionError{Version: r.Version})
	}
	var levels []levelRecord
	if err := cbor.Unmarshal(r.Body, &levels); err != nil {
		return nil, trace.Wrap(&InvalidRecordError{Reason: err.Error()})
	}
	m := New()
	for i := range levels {
		k := levelKey{queue: levels[i].Queue, team: levels[i].Team, kind: string(levels[i].Kind)}
		l, err := levels[i].level()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if k.coarse() {
			if m.queues >= maxQueues || m.levels[k] != nil {
				return nil, trace.Wrap(&InvalidRecordError{Reason: "too many queues, or one of them twice"})
			}
			m.queues++
		} else if len(m.levels)-m.queues >= maxFineLevels || m.levels[levelKey{queue: k.queue}] == nil {
			return nil, trace.Wrap(&InvalidRecordError{Reason: "too many levels, or one of a queue that is missing"})
		}
		m.levels[k] = l
	}
	return m, nil
}

// record returns the level as it is stored.
func (l *level) record(k levelKey) *levelRecord {
	r := &levelRecord{
		Queue: k.queue, Team: k.team, Kind: []byte(k.kind),
		Counts: [3]float32{float32(l.runs), float32(l.body), float32(l.declaredRuns)},
		Moments: [8]float32{
			float32(l.mean), float32(l.variance), float32(l.declaredMean), float32(l.declaredVariance),
			float32(l.covariance), float32(l.loss), float32(l.coarseLoss), float32(l.tailShare),
		},
	}
	if s := &l.shape; k.coarse() && s.sketch != nil {
		s.sketch.ForEach(func(value, count float64) bool {
			if weight := count / s.weight; weight > negligible {
				r.Bins, r.Weights = append(r.Bins, int16(ratioMapping.Index(value))), append(r.Weights, float32(weight))
			}
			return false
		})
	}
	return r
}

// Bounds of what a record may hold: logarithms of milliseconds of any time that is learned, their squares, and counts.
const (
	maxLogMs = 50.0
	maxRuns  = 1e15
)

// level returns the level of a record.
func (r *levelRecord) level() (*level, error) {
	for _, c := range r.Counts {
		if !(c >= 0 && c <= maxRuns) {
			return nil, &InvalidRecordError{Reason: "number of runs"}
		}
	}
	for n, v := range r.Moments {
		// All but the two means and the covariance are squares or shares.
		signed := n == 0 || n == 2 || n == 4
		if !(math.Abs(float64(v)) <= maxLogMs*maxLogMs) || (v < 0 && !signed) {
			return nil, &InvalidRecordError{Reason: "average"}
		}
	}
	if math.Abs(float64(r.Moments[0])) > maxLogMs || math.Abs(float64(r.Moments[2])) > maxLogMs || r.Moments[7] > 1 {
		return nil, &InvalidRecordError{Reason: "mean or share"}
	}
	if len(r.Bins) != len(r.Weights) || len(r.Bins) > maxBins {
		return nil, &InvalidRecordError{Reason: "number of bins"}
	}
	l := &level{
		runs: float64(r.Counts[0]), body: float64(r.Counts[1]), declaredRuns: float64(r.Counts[2]),
		mean: float64(r.Moments[0]), variance: float64(r.Moments[1]), declaredMean: float64(r.Moments[2]), declaredVariance: float64(r.Moments[3]),
		covariance: float64(r.Moments[4]), loss: float64(r.Moments[5]), coarseLoss: float64(r.Moments[6]), tailShare: float64(r.Moments[7]),
	}
	for n, index := range r.Bins {
		ratio, weight := ratioMapping.Value(int(index)), float64(r.Weights[n])
		if !(ratio >= minRatio/2 && ratio <= maxRatio*2) || !(weight > 0 && weight <= 2*shapeMemory) {
			return nil, &InvalidRecordError{Reason: "bin"}
		}
		l.shape.restore(ratio, weight)
	}
	return l, nil
}
