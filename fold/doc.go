// Package fold applies the batches of the log to a state; every process that has applied the same offsets has the same state.
package fold
