// Package soak holds a randomized test that runs the program as separate processes on one machine and injects faults from outside, with signals and proxies.
package soak
