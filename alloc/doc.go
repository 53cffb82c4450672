// Package alloc divides the slots of each service's targets among the entry processes, by the demand that these report.
//
// One entry process acts as the allocator of a service, and any other can take over from it. A seat is the stable name
// under which an entry process reports; after a restart it reports under the same seat with a new incarnation.
package alloc
