// Package blame decides what a crash of a target counts against the work items that were ordered to run there, and when an item is given up for its crashes. It holds no state and knows no table; the caller states what it knows of a run.
package blame
