// Package alloc divides the slots of each service's targets among the entry processes, by the demand that these report.
//
// One entry process acts as the allocator of a service, and any other can take over from it. None has to be the only one:
// each entry process chooses the allocator to which it reports, so two processes may act as allocators of one service at
// once. An allocator knows only the slots of processes that report to it, so the two may then grant the same slot twice;
// the target refuses a request for which it has no free slot. A new allocator first only confirms the slots that entry
// processes report, and the processes that stopped reporting to it lose their slots after ReportTimeout.
//
// A seat is the stable name under which an entry process reports; after a restart it reports under the same seat with a
// new incarnation.
package alloc
