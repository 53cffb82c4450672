// Package learn predicts how long work items run from the runs that have ended, so that nothing depends on the times that callers declare.
//
// A Model keeps, by queue, by queue and team, and by queue and kind of item, the typical run time and the distribution of actual to predicted times. A finer level is used once it has enough runs and has predicted them better than the queue as a whole. Declared times count as far as they have explained the run times.
//
// Long runs far beyond the body of a distribution do not move the typical time; they count in the mean, the high percentiles and the remaining time of a run that has outlasted the body.
package learn
