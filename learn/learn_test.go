package learn

import (
	"errors"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

func ms(f float64) time.Duration { return time.Duration(f * float64(time.Millisecond)) }

// heavyTail returns run times whose body has the given median; 3 of 100 take seven times as long.
func heavyTail(r *rand.Rand, median float64) float64 {
	took := median * math.Exp(0.2*r.NormFloat64())
	if r.Float64() < 0.03 {
		took *= 7
	}
	return took
}

// TestTailDoesNotMoveTheTypicalTime guards against a few long items that make every job look late, and against a mean and a remaining time that do not know of them.
func TestTailDoesNotMoveTheTypicalTime(t *testing.T) {
	is := is.New(t)
	r, m, key := rand.New(rand.NewSource(1)), New(), Key{Queue: "q"}
	for range 2000 {
		m.Observe(key, ms(heavyTail(r, 1000)), 0, 0)
	}
	e := m.Expect(key, 0)
	t.Logf("%+v", []float64{e.Median, e.Mean, e.P90, e.P99, e.Runs})
	is.True(e.Median > 900 && e.Median < 1100)
	is.True(e.Mean > 1080 && e.Mean < 1350) // 0.97 + 0.03 x 7 = 1.18 times the body's mean
	is.True(e.P90 < 1600)
	is.True(e.P99 > 4000)
	is.True(e.Remaining(ms(900)) < ms(500))                                    // most runs end soon now
	is.True(e.Remaining(ms(2500)) > ms(3000))                                  // what outlasts the body belongs to the tail
	is.True(e.Remaining(0) > ms(1080))                                         // the mean
	is.Equal(e.Remaining(time.Hour).Round(time.Second), ms(1000))              // beyond all that was seen
	is.True(m.Remaining(Key{Queue: "other"}, 1000, 0) == 0 && m.Runs("q") > 0) // nothing is known
}

// TestLastingChangeIsLearned guards against run times that are taken for a tail for ever although all runs take longer now.
func TestLastingChangeIsLearned(t *testing.T) {
	is := is.New(t)
	r, m, key := rand.New(rand.NewSource(2)), New(), Key{Queue: "q"}
	for n := range 700 {
		median := 500.0
		if n >= 300 {
			median = 4000
		}
		m.Observe(key, ms(heavyTail(r, median)), 0, 0)
	}
	median := m.Expect(key, 0).Median
	is.True(median > 3000 && median < 5000)
}

// TestPrediction guards against a finer level that is used when it predicts worse, or not when it predicts better, and against declared times that count for more or less than they tell.
func TestPrediction(t *testing.T) {
	for _, c := range []struct {
		name string
		// run returns the key, the declared time and the true typical time of a run.
		run func(r *rand.Rand, n int) (Key, int64, float64)
		// bound is the largest permitted mean error of the prediction, in logarithms.
		bound float64
	}{
		{"declared times that mean nothing", func(r *rand.Rand, _ int) (Key, int64, float64) {
			return Key{Queue: "q"}, int64(800 * math.Exp(0.9*r.NormFloat64())), 800
		}, 0.12},
		{"declared times off by half or a factor of two", func(r *rand.Rand, _ int) (Key, int64, float64) {
			typical := 800 * math.Exp(0.8*r.NormFloat64())
			return Key{Queue: "q"}, int64(typical * []float64{0.5, 1, 2}[r.Intn(3)]), typical
		}, 0.5},
		{"two teams with different run times", func(_ *rand.Rand, n int) (Key, int64, float64) {
			return Key{Queue: "q", Team: fmt.Sprint("t", n%2)}, 1000, []float64{300, 3000}[n%2]
		}, 0.12},
		{"many teams with few runs each", func(_ *rand.Rand, n int) (Key, int64, float64) {
			return Key{Queue: "q", Team: fmt.Sprint("t", n%100)}, 1000, 700
		}, 0.12},
		{"two images with different run times", func(_ *rand.Rand, n int) (Key, int64, float64) {
			return Key{Queue: "q", Team: "t", Image: fmt.Sprint("i", n%2)}, 1000, []float64{300, 1200}[n%2]
		}, 0.12},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, m := rand.New(rand.NewSource(3)), New()
			sum, count := 0.0, 0
			for n := range 1500 {
				key, declared, typical := c.run(r, n)
				if n >= 1000 {
					e := m.Expect(key, declared)
					sum += math.Abs(math.Log(e.Median / typical))
					count++
				}
				m.Observe(key, ms(heavyTail(r, typical)), declared, time.Duration(n))
			}
			t.Logf("mean error %.3f", sum/float64(count))
			is.True(sum/float64(count) < c.bound)
		})
	}
}

// TestFewRunsSayNothing guards against expectations from a handful of runs.
func TestFewRunsSayNothing(t *testing.T) {
	is := is.New(t)
	m, key := New(), Key{Queue: "q", Team: "t"}
	for n := range MinRuns {
		e := m.Expect(key, 1000)
		is.True(!e.Known())
		is.Equal(e.Runs, float64(n))
		m.Observe(key, time.Second, 1000, 0)
	}
	e := m.Expect(key, 1000)
	is.True(e.Known())
}

// fullModel returns a model of the largest size that the design allows for.
func fullModel() *Model {
	r, m := rand.New(rand.NewSource(4)), New()
	for n := range 250 * 58 * 3 {
		key := Key{Queue: fmt.Sprintf("queue-number-%d", n%58), Team: fmt.Sprintf("team-number-%d", n/3%250)}
		m.Observe(key, ms(heavyTail(r, 700)), int64(100+r.Intn(4000)), time.Duration(n))
	}
	return m
}

// TestSizeIsBounded guards against a model that grows with the names that callers choose, and against a record that the store turns down.
func TestSizeIsBounded(t *testing.T) {
	is := is.New(t)
	m := fullModel()
	is.True(len(m.levels)-m.queues <= maxFineLevels)
	for _, limit := range []int{64 << 10, 8 << 10, 100} {
		b, err := m.Encode(limit)
		is.NoErr(err)
		is.True(len(b) <= limit)
		back, err := Decode(b)
		is.NoErr(err)
		t.Logf("limit %d: %d bytes, %d queues, %d finer levels", limit, len(b), back.queues, len(back.levels)-back.queues)
		if limit == 64<<10 {
			is.Equal(back.queues, 58) // queues come first
		}
	}
	for n := range 2 * maxQueues {
		m.Observe(Key{Queue: fmt.Sprint(n)}, time.Second, 0, 0)
	}
	is.Equal(m.queues, maxQueues)
	for _, q := range m.Queues() {
		m.Drop(q)
	}
	is.Equal(len(m.levels), 0)
	is.Equal(m.queues, 0)
}

// TestRecordKeepsWhatWasLearned guards against a hand-over that forgets or changes what finished runs have shown.
func TestRecordKeepsWhatWasLearned(t *testing.T) {
	is := is.New(t)
	r, m := rand.New(rand.NewSource(5)), New()
	key := Key{Queue: "q", Team: "t"}
	for range 500 {
		m.Observe(key, ms(heavyTail(r, 700)), int64(500+r.Intn(500)), 0)
	}
	b, err := m.Encode(64 << 10)
	is.NoErr(err)
	back, err := Decode(b)
	is.NoErr(err)
	// Those figures of the queue that are stored; a team's distribution begins with the queue's.
	was, got := m.Expect(Key{Queue: "q"}, 700), back.Expect(Key{Queue: "q"}, 700)
	for _, pair := range [][2]float64{{was.Median, got.Median}, {was.Mean, got.Mean}, {was.P90, got.P90}, {was.P99, got.P99}, {was.Runs, got.Runs}} {
		is.True(math.Abs(math.Log(pair[0]/pair[1])) < 0.08) // the width of a bin, and up to refreshRuns more runs
	}
	again, err := back.Encode(64 << 10)
	is.NoErr(err)
	is.Equal(len(again), len(b))
}

// TestUnusableRecord guards against a damaged record, or one of another version, that ends the process or is learned from.
func TestUnusableRecord(t *testing.T) {
	is := is.New(t)
	b, err := New().Encode(1000)
	is.NoErr(err)
	b[1] = recordVersion + 1
	_, err = Decode(b)
	var version *VersionError
	is.True(errors.As(err, &version))
	for _, damaged := range [][]byte{nil, {0x82}, {0xff}, b[:2]} {
		_, err = Decode(damaged)
		var invalid *InvalidRecordError
		is.True(errors.As(err, &invalid))
	}
}

// FuzzDecode guards against records that end the process, take much memory, or give expectations that are not numbers.
func FuzzDecode(f *testing.F) {
	m := New()
	for n := range 60 {
		m.Observe(Key{Queue: "q", Team: "t"}, ms(float64(500+n)), 500, 0)
	}
	b, err := m.Encode(64 << 10)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		for _, q := range m.Queues() {
			key := Key{Queue: q, Team: "t"}
			for range 3 {
				e := m.Expect(key, 500)
				for _, v := range []float64{e.Median, e.Mean, e.P90, e.P99, float64(e.Remaining(time.Second))} {
					if math.IsNaN(v) || v < 0 {
						t.Fatalf("%+v", e)
					}
				}
				m.Observe(key, time.Second, 500, 0)
			}
		}
	})
}

// BenchmarkExpect measures an expectation as it is computed for each step of a job.
func BenchmarkExpect(b *testing.B) {
	m := fullModel()
	key := Key{Queue: "queue-number-7", Team: "team-number-249"}
	b.ReportAllocs()
	for b.Loop() {
		m.Expect(key, 700)
	}
}

// BenchmarkRemaining measures the remaining time of a run whose expectation is kept.
func BenchmarkRemaining(b *testing.B) {
	m := fullModel()
	e := m.Expect(Key{Queue: "queue-number-7"}, 700)
	b.ReportAllocs()
	for b.Loop() {
		e.Remaining(time.Second)
	}
}
