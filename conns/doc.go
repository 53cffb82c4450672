// Package conns sends requests to targets. Each connection carries one request at a time, and the outcome of an attempt tells whether any byte of the request was sent.
package conns
