package work

import (
	"fmt"
	"slices"
	"strings"
)

// Feature names a part of the scheduling that operators can turn off.
type Feature string

// The parts of the scheduling that operators can turn off. Each one also has a condition of its own under which it has no effect.
const (
	// LearnedTimes orders, admits and places work by the learned distributions of run times.
	LearnedTimes Feature = "learn"
	// Shedding refuses jobs per team and queue and spreads the return of refused callers.
	Shedding Feature = "shed"
	// Preemption stops checkpointing batch work for urgent work that would be late.
	Preemption Feature = "preempt"
	// PeakForecast sizes pools ahead of peaks that have recurred.
	PeakForecast Feature = "peaks"
)

// allFeatures lists the parts in the order in which messages name them.
var allFeatures = []Feature{LearnedTimes, Shedding, Preemption, PeakForecast}

// Features says which parts of the scheduling are turned off; the zero value has all of them on.
type Features struct{ disabled map[Feature]bool }

// Enabled reports whether the part is on.
func (f Features) Enabled(name Feature) bool { return !f.disabled[name] }

// WithDisabled returns the features with the given one turned off too.
func (f Features) WithDisabled(name Feature) Features {
	disabled := map[Feature]bool{name: true}
	for n := range f.disabled {
		disabled[n] = true
	}
	return Features{disabled: disabled}
}

// FeatureError names a value that is not the name of a feature.
type FeatureError struct{ Name string }

// Error names the value and those that are allowed.
func (e *FeatureError) Error() string {
	names := make([]string, len(allFeatures))
	for i, f := range allFeatures {
		names[i] = string(f)
	}
	return fmt.Sprintf("unknown feature %q: want one of %s", e.Name, strings.Join(names, ", "))
}

// ParseDisabled returns the features without those in a list that is separated by commas. It fails with a FeatureError for a name that is not a feature.
func ParseDisabled(list string) (Features, error) {
	var f Features
	for name := range strings.SplitSeq(list, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		if !slices.Contains(allFeatures, Feature(name)) {
			return Features{}, &FeatureError{Name: name}
		}
		f = f.WithDisabled(Feature(name))
	}
	return f, nil
}
