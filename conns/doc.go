// Package conns speaks the targets' protocol: one request at a time on a connection of its own, with exact knowledge of whether a byte was sent.
package conns
