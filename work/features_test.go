package work

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestParseDisabled guards against a misspelled feature that stays on without a word, and against a feature that is turned off with another one.
func TestParseDisabled(t *testing.T) {
	is := is.New(t)
	f, err := ParseDisabled(" learn, peaks ")
	is.NoErr(err)
	for _, c := range []struct {
		name    Feature
		enabled bool
	}{{LearnedTimes, false}, {PeakForecast, false}, {Shedding, true}, {Preemption, true}} {
		is.Equal(f.Enabled(c.name), c.enabled)
	}
	_, err = ParseDisabled("learn,peak")
	var unknown *FeatureError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.Name, "peak")
}
