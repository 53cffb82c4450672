// Package state computes the shared state from the batches of the log; every process that has applied the same offsets has the same state.
package state
