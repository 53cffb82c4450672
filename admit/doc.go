// Package admit decides, inside one entry process, which request starts on which target and when: limits, shares, slots, queues and target health.
package admit
