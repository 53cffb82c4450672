// Package peer provides the net/rpc connections between processes, and defines the calls between entry processes.
package peer
