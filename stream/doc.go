// Package stream writes and reads the streams of the log: a Writer appends records with group commit and idempotent retries, and a Tail applies the batches of a stream in order.
package stream
