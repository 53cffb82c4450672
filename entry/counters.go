package entry

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// counters are the metrics of one process.
type counters struct {
	answered      tally.Counter
	notRun        tally.Counter
	unknown       tally.Counter
	retries       tally.Counter
	healthChanges tally.Counter
	waitTime      tally.Histogram
}

func newCounters(scope tally.Scope) counters {
	return counters{
		answered:      scope.Counter("requests_answered"),
		notRun:        scope.Counter("requests_not_run"),
		unknown:       scope.Counter("requests_unknown"),
		retries:       scope.Counter("retries"),
		healthChanges: scope.Counter("target_health_changes"),
		waitTime:      scope.Histogram("wait_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
	}
}
