// Package logs writes log lines in JSON to a stream that may be slow. It never blocks the caller; lines beyond the limits are dropped and counted.
package logs
