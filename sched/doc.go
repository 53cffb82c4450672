// Package sched decides which work item runs where and when, without a network or a clock of its own: callers report events and answers to a Table, call Plan at given times, and send the orders that follow.
//
// Placement: Plan picks a target for each waiting item and queues a StartOrder. Flush returns it in a Batch with the job's progress record, and the caller sends it once the record is in the store.
//
// Leases: targets run items only while their lease is renewed. If a target stops answering, its items are requeued once the lease has certainly expired. If a target answers with a new incarnation, the runs of its former incarnation are revoked: stop orders with Revokes prevent starts that may still be delivered from beginning a run. A target's reply to a renewal lists its active runs and the ends that have not been acknowledged.
//
// Run times: package learn predicts them from the runs that have ended undisturbed; the order of placement, admission, the sizes of pools and the choice of targets follow its expectations.
//
// Moves and maintenance of hosts: the host's target is cordoned and drained. The order is then recorded, sent to the cloud and repeated until it is answered, and it is complete when the host list shows the host up again.
package sched
