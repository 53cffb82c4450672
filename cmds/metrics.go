package cmds

import (
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"lavenderwing.example/lavenderwing/entry"
)

// newScope returns the root of the metrics and the page that shows them.
func newScope() (tally.Scope, entry.MetricsHandler) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "lavenderwing",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The registry's own gauges carry names and tags that the page has no use for.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
	}, metricsPeriod)
	return scope, entry.MetricsHandler(reporter.HTTPHandler())
}
