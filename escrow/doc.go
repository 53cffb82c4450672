// Package escrow divides each team's upper limit into units that entry processes hold, so that admission needs no coordination.
package escrow
