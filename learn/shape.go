package learn

import (
	"sort"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	// relativeAccuracy is that of the kept ratios; it is a fraction of how much run times vary.
	relativeAccuracy = 0.03
	// maxBins bounds a distribution's memory; they span ratios of 1 to 2,000, and the lowest ratios are merged first.
	maxBins = 128
	// shapeMemory is the number of runs after which a run's weight in the distribution has fallen by a factor of e. A tail of 3 in 100 shows 30 times among them.
	shapeMemory = 1000
	// maxWeight is the weight of the newest run from which all weights are scaled down, far below the precision of a float64.
	maxWeight = 1e6
	// refreshRuns is the number of runs after which a summary is computed again.
	refreshRuns = 20
	// minRatio and maxRatio bound the ratios that are kept.
	minRatio = 1e-3
	maxRatio = 1e4
)

// ratioMapping maps ratios to bins.
var ratioMapping = newRatioMapping()

func newRatioMapping() *mapping.LogarithmicMapping {
	m, err := mapping.NewLogarithmicMapping(relativeAccuracy)
	if err != nil {
		// Not reached: the accuracy is valid.
		panic(err)
	}
	return m
}

// shape is the distribution of the ratios of actual to typical run times. Older runs weigh less.
type shape struct {
	sketch *ddsketch.DDSketch
	// weight is that of the next run.
	weight float64
	// runs counts the runs since the summary was computed.
	runs    int
	current *summary
}

// begin makes the distribution ready for its first run.
func (s *shape) begin() {
	if s.sketch == nil {
		s.sketch, s.weight = ddsketch.NewDDSketch(ratioMapping, store.NewCollapsingLowestDenseStore(maxBins), store.NewSparseStore()), 1
	}
}

// add adds a run.
func (s *shape) add(ratio float64) {
	s.begin()
	if s.weight >= maxWeight {
		// The factor is positive, so that neither call can fail.
		_ = s.sketch.Reweight(1 / s.weight)
		s.weight = 1
	}
	_ = s.sketch.AddWithCount(min(max(ratio, minRatio), maxRatio), s.weight)
	s.weight *= 1 + 1.0/shapeMemory
	s.runs++
}

// summary returns figures of the distribution that are at most refreshRuns runs old.
func (s *shape) summary() *summary {
	if s.current == nil || s.runs >= refreshRuns {
		s.current, s.runs = newSummary(s.sketch), 0
	}
	return s.current
}

// summary holds the figures of a distribution of ratios. It does not change, so that expectations may keep it.
type summary struct {
	median, mean, p90, p99 float64
	// ratios holds the bins in order. above and sums hold the weight, and the sum of the ratios, of each bin and those after it.
	ratios []float64
	above  []float64
	sums   []float64
}

func newSummary(sketch *ddsketch.DDSketch) *summary {
	s := &summary{median: 1, mean: 1, p90: 1, p99: 1}
	if sketch == nil || sketch.IsEmpty() {
		return s
	}
	var counts []float64
	sketch.ForEach(func(value, count float64) bool {
		s.ratios, counts = append(s.ratios, value), append(counts, count)
		return false
	})
	sort.Sort(byRatio{s.ratios, counts})
	s.above, s.sums = make([]float64, len(counts)), make([]float64, len(counts))
	total, sum := 0.0, 0.0
	for n := len(counts) - 1; n >= 0; n-- {
		total += counts[n]
		sum += counts[n] * s.ratios[n]
		s.above[n], s.sums[n] = total, sum
	}
	s.mean = sum / total
	s.median, s.p90, s.p99 = s.quantile(0.5), s.quantile(0.9), s.quantile(0.99)
	return s
}

// byRatio sorts bins with their weights.
type byRatio struct{ ratios, counts []float64 }

// Len returns the number of bins.
func (b byRatio) Len() int { return len(b.ratios) }

// Less compares two ratios.
func (b byRatio) Less(i, j int) bool { return b.ratios[i] < b.ratios[j] }

// Swap exchanges two bins.
func (b byRatio) Swap(i, j int) {
	b.ratios[i], b.ratios[j] = b.ratios[j], b.ratios[i]
	b.counts[i], b.counts[j] = b.counts[j], b.counts[i]
}

// quantile returns the ratio that the given part of the runs does not exceed.
func (s *summary) quantile(q float64) float64 {
	rest := (1 - q) * s.above[0]
	n := sort.Search(len(s.above), func(n int) bool { return s.above[n] <= rest })
	return s.ratios[max(n-1, 0)]
}

// negligible is the part of all runs below which those beyond a ratio say nothing any more, because they have nearly been forgotten.
const negligible = 1e-5

// remaining returns the mean ratio still to come of runs that have reached the given one. Of runs beyond all that were seen nothing is known; they are expected to take the typical time once more.
func (s *summary) remaining(reached float64) float64 {
	n := sort.SearchFloat64s(s.ratios, reached)
	if n == len(s.ratios) || s.above[n] < negligible*s.above[0] {
		return 1
	}
	return max(s.sums[n]/s.above[n]-reached, 0)
}

// Expectation says what to expect of an item's run time.
type Expectation struct {
	// Median, Mean, P90 and P99 are in milliseconds. Median is the typical time, which long runs of the tail do not move; Mean counts them by their share.
	Median, Mean, P90, P99 float64
	// Runs is the number of the queue's observed runs.
	Runs float64
	// typical is the predicted time, to which the ratios of shape refer.
	typical float64
	shape   *summary
}

// Known reports whether enough runs of the queue have been observed.
func (e *Expectation) Known() bool { return e.shape != nil }

// Remaining returns the expected remaining time of a run that has lasted the given time, 0 if too little is known of the queue.
func (e *Expectation) Remaining(ran time.Duration) time.Duration {
	if e.shape == nil {
		return 0
	}
	return time.Duration(e.shape.remaining(float64(ran)/float64(time.Millisecond)/e.typical) * e.typical * float64(time.Millisecond))
}

// restore adds a stored bin.
func (s *shape) restore(ratio, weight float64) {
	s.begin()
	_ = s.sketch.AddWithCount(min(max(ratio, minRatio), maxRatio), weight)
}
