// Package escrow divides each team's limit into units that entry processes hold, so that admission needs no coordination.
//
// One unit allows one slot in use. An entry process is known by its seat, a stable name; each restart joins with a new
// incarnation and takes over the units of the seat.
package escrow
