package cmds

import (
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"lavenderwing.example/lavenderwing/entry"
)

// newScope returns the root scope of the metrics and the handler of the page that shows them.
func newScope() (tally.Scope, entry.MetricsHandler) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "lavenderwing",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The registry's own gauges have names and tags that are of no use on the page.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	return scope, entry.MetricsHandler(reporter.HTTPHandler())
}
