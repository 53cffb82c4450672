// Package peer carries calls between entry processes over net/rpc.
package peer
