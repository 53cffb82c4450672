// Package fake implements a stand-in for the platform, for tests and experiments: a log service, a host list and executors, all with fault injection.
package fake
