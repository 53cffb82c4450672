// Package event records the events of one process; the events of all processes form the timeline that explains what the fleet did.
package event
