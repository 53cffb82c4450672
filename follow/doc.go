// Package follow writes to and reads from the streams of the log: a Writer with group commit and idempotent appends, and a Tail that applies the batches of a stream in order.
package follow
