// Package fold turns the log's batches into tables, the same in every process that reads the same offsets.
package fold
