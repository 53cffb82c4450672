// Package mesh carries the net/rpc calls between the processes on the platform: callers' requests to the holder, heartbeats, probes for a silent holder, and notices of a new or resigning holder.
package mesh
