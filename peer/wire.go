package peer

import (
	"github.com/google/uuid"

	"lavenderwing.example/lavenderwing/alloc"
	"lavenderwing.example/lavenderwing/event"
	"lavenderwing.example/lavenderwing/logapi"
)

// ExchangeArgs is the argument of the call Exchange; net/rpc requires exported argument types.
type ExchangeArgs struct {
	Report alloc.Report
	// HoldMs is how long the callee may delay the reply until the allocation changes, in milliseconds.
	HoldMs int
}

// ExchangeReply is the reply of the call Exchange.
type ExchangeReply struct {
	Allocation alloc.Allocation
	// FreshMs is how long ago the callee last knew that it had read the log to its end, in milliseconds.
	FreshMs int64
	// Offset is the last offset of the state stream that the callee has applied.
	Offset int64
}

// SinceArgs is the argument of the call Since.
type SinceArgs struct {
	// From is the first offset of the state stream that is requested.
	From int64
}

// SinceReply is the reply of the call Since.
type SinceReply struct {
	Entries []logapi.Entry
}

// EventsArgs is the argument of the call Events.
type EventsArgs struct {
	// Name selects the events with this subject or cause; if it is empty, all events are requested.
	Name string
}

// EventsReply is the reply of the call Events.
type EventsReply struct {
	Events []event.Event
}

// AnswerArgs is the argument of the call Answer, which requests the answer to a request that the callee sent to a target.
type AnswerArgs struct {
	Request uuid.UUID
	Team    string
}

// AnswerReply is the reply of the call Answer.
type AnswerReply struct {
	Found       bool
	Team        string
	Status      int
	ContentType string
	Body        []byte
}

// Handler handles the calls of peers.
type Handler interface {
	// Exchange accepts a report and returns the allocation of the reporting seat.
	Exchange(args ExchangeArgs) ExchangeReply
	// Since returns entries of the state stream that the process has read.
	Since(args SinceArgs) SinceReply
	// Events returns events of the process.
	Events(args EventsArgs) EventsReply
	// Answer returns the answer to an earlier request of the team, if it is still stored.
	Answer(args AnswerArgs) AnswerReply
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
func (r *rpcReceiver) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	*reply = r.handler.Exchange(*args)
	return nil
}

// Since handles the call of that name.
func (r *rpcReceiver) Since(args *SinceArgs, reply *SinceReply) error {
	*reply = r.handler.Since(*args)
	return nil
}

// Events handles the call of that name.
func (r *rpcReceiver) Events(args *EventsArgs, reply *EventsReply) error {
	*reply = r.handler.Events(*args)
	return nil
}

// Answer handles the call of that name.
func (r *rpcReceiver) Answer(args *AnswerArgs, reply *AnswerReply) error {
	*reply = r.handler.Answer(*args)
	return nil
}
