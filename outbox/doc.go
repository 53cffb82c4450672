// Package outbox decides which of the orders for one target are sent next, and how many at once.
package outbox
