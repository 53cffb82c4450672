// Package admit implements the admission control of one entry process. It decides which request starts on which target and when, from limits, shares, slots, queues and target health.
package admit
