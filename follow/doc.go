// Package follow writes to and reads from the log's streams: group commit with idempotent appends, and a tail that hands every batch to a folder in order.
package follow
