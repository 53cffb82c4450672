//go:build review

// Command standin plays the platform, its executors and its consumers against the project's own program, which it starts as separate processes. Each case of the review is one of its commands.
package main
