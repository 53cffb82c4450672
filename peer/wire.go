package peer

import (
	"github.com/google/uuid"

	"lavenderwing.example/lavenderwing/alloc"
	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/plat"
)

// Exchange is the argument of the call of the same name; net/rpc needs it exported.
type Exchange struct {
	Report alloc.Report
	// HoldMs is how long the answer may wait for a change of the allocation.
	HoldMs int
}

// Exchanged is the reply to an Exchange.
type Exchanged struct {
	Allocation alloc.Allocation
	// FreshMs is the age of the answering process's newest evidence of the log's end.
	FreshMs int64
	// Offset is the last offset of the state stream that the answering process has folded.
	Offset int64
}

// Since is the argument of the call of the same name.
type Since struct {
	// From is the first offset of the state stream that the caller lacks.
	From int64
}

// Entries is the reply to a Since.
type Entries struct {
	Entries []plat.Entry
}

// About is the argument of a call for events.
type About struct {
	// Name restricts the events to one subject or cause, unless it is empty.
	Name string
}

// Events is the reply to an About.
type Events struct {
	Events []event.Event
}

// Repeat is the argument of a call for the answer to a request that the callee sent.
type Repeat struct {
	Request uuid.UUID
	Team    string
}

// Answer is the reply to a Repeat.
type Answer struct {
	Found       bool
	Team        string
	Status      int
	ContentType string
	Body        []byte
}

// Handler answers the calls of other entry processes.
type Handler interface {
	// Exchange takes a report and returns the seat's allocation.
	Exchange(args Exchange) Exchanged
	// Since returns entries of the state stream that the handler's process has read.
	Since(args Since) Entries
	// Events returns the handler's process's part of the time line.
	Events(args About) Events
	// Answer returns the answer to an earlier request of the same team, if it is still kept.
	Answer(args Repeat) Answer
}

// Names of the calls on the wire.
const (
	methodExchange = "Peer.Exchange"
	methodSince    = "Peer.Since"
	methodEvents   = "Peer.Events"
	methodAnswer   = "Peer.Answer"
)

// service adapts a Handler to the form of methods that net/rpc serves.
type service struct {
	handler Handler
}

// Exchange serves one call.
func (s *service) Exchange(args *Exchange, reply *Exchanged) error {
	*reply = s.handler.Exchange(*args)
	return nil
}

// Since serves one call.
func (s *service) Since(args *Since, reply *Entries) error {
	*reply = s.handler.Since(*args)
	return nil
}

// Events serves one call.
func (s *service) Events(args *About, reply *Events) error {
	*reply = s.handler.Events(*args)
	return nil
}

// Answer serves one call.
func (s *service) Answer(args *Repeat, reply *Answer) error {
	*reply = s.handler.Answer(*args)
	return nil
}
