package peer

import (
	"github.com/google/uuid"

	"lavenderwing.example/lavenderwing/alloc"
	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/plat"
)

// Exchange is the argument of the call Exchange; net/rpc requires exported argument types.
type Exchange struct {
	Report alloc.Report
	// HoldMs is how long the callee may delay the reply until the allocation changes, in milliseconds.
	HoldMs int
}

// Exchanged is the reply of the call Exchange.
type Exchanged struct {
	Allocation alloc.Allocation
	// FreshMs is how long ago the callee last knew that it had reached the end of the log, in milliseconds.
	FreshMs int64
	// Offset is the last offset of the state stream that the callee has applied.
	Offset int64
}

// Since is the argument of the call Since.
type Since struct {
	// From is the first offset of the state stream that is requested.
	From int64
}

// Entries is the reply of the call Since.
type Entries struct {
	Entries []plat.Entry
}

// About is the argument of the call Events.
type About struct {
	// Name selects the events with this subject or cause; if it is empty, all events are requested.
	Name string
}

// Events is the reply of the call Events.
type Events struct {
	Events []event.Event
}

// Repeat is the argument of the call Answer, which requests the answer to a request that the callee sent to a target.
type Repeat struct {
	Request uuid.UUID
	Team    string
}

// Answer is the reply of the call Answer.
type Answer struct {
	Found       bool
	Team        string
	Status      int
	ContentType string
	Body        []byte
}

// Handler handles the calls of peers.
type Handler interface {
	// Exchange accepts a report and returns the allocation of the reporting seat.
	Exchange(args Exchange) Exchanged
	// Since returns entries of the state stream that the process has read.
	Since(args Since) Entries
	// Events returns events of the process.
	Events(args About) Events
	// Answer returns the answer to an earlier request of the team, if it is still stored.
	Answer(args Repeat) Answer
}

// Names of the net/rpc methods.
const (
	methodExchange = "Peer.Exchange"
	methodSince    = "Peer.Since"
	methodEvents   = "Peer.Events"
	methodAnswer   = "Peer.Answer"
)

// rpcReceiver adapts a Handler to the method signatures that net/rpc requires.
type rpcReceiver struct {
	handler Handler
}

// Exchange handles the call of that name.
func (s *rpcReceiver) Exchange(args *Exchange, reply *Exchanged) error {
	*reply = s.handler.Exchange(*args)
	return nil
}

// Since handles the call of that name.
func (s *rpcReceiver) Since(args *Since, reply *Entries) error {
	*reply = s.handler.Since(*args)
	return nil
}

// Events handles the call of that name.
func (s *rpcReceiver) Events(args *About, reply *Events) error {
	*reply = s.handler.Events(*args)
	return nil
}

// Answer handles the call of that name.
func (s *rpcReceiver) Answer(args *Repeat, reply *Answer) error {
	*reply = s.handler.Answer(*args)
	return nil
}
