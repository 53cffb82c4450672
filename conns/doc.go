// Package conns sends requests to targets. Each connection carries one request at a time, and each outcome tells whether any byte of the request was sent.
package conns
