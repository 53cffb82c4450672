// Package stand is the stand-in for the platform that tests and experiments use: a log service, a host list and executors, each with faults that can be switched on.
package stand
