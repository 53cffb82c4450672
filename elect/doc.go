// Package elect decides which process is the holder of the scheduling lease. There is one holder at a time; its epoch rises with each takeover and is also its fencing token.
//
// Followers detect a failed holder by missing heartbeat replies, by its refused connections, by its report that it cannot write to the store, and by its resignation. They claim in the order of their ranks. Before a claim they poll the other processes, so that a partitioned process does not replace a live holder.
package elect
