//go:build review2

// Command standin2 plays the platform, the executors and the callers for the scripts of this review. It starts the program as separate processes on loopback addresses, judges what callers and executors see, and writes it to a record.
package main
