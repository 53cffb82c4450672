// Package member manages an entry process's lease and its units of the teams' limits.
//
// It does no input or output: from the tables, the load and the time it computes what the process may use and which
// records it should append to the log. A seat is the stable name of an entry process; after a restart the process takes
// the seat again with a new incarnation.
package member
