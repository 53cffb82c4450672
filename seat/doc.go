// Package seat is an entry process's side of leases and limits as pure steps: from tables, load and time to what may be used and which records to append.
package seat
