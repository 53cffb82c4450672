package peer

import "lavenderwing.example/lavenderwing/alloc"

// Exchange is the argument of the call of the same name; net/rpc needs it exported.
type Exchange struct {
	Report alloc.Report
	// HoldMs is how long the answer may wait for a change of the allocation.
	HoldMs int
	// FreshMs is the age of the caller's newest evidence of the log's end.
	FreshMs int64
}

// Exchanged is the reply to an Exchange.
type Exchanged struct {
	Allocation alloc.Allocation
	// FreshMs is the age of the answering process's newest evidence of the log's end.
	FreshMs int64
}

// Handler answers the calls of other entry processes.
type Handler interface {
	// Exchange takes a report and returns the seat's allocation.
	Exchange(args Exchange) Exchanged
}

// method is the name of the call on the wire.
const method = "Peer.Exchange"

// service adapts a Handler to the form of methods that net/rpc serves.
type service struct {
	handler Handler
}

// Exchange serves one call.
func (s *service) Exchange(args *Exchange, reply *Exchanged) error {
	*reply = s.handler.Exchange(*args)
	return nil
}
