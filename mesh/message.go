package mesh

import "lavenderwing.example/lavenderwing/work"

// Kind says what a Question is about.
type Kind int

// Kinds of questions.
const (
	Submit Kind = iota
	Status
	Cancel
	Pending
)

// Request is a caller's request that only the holder can answer; net/rpc needs it exported.
type Request struct {
	Kind Kind
	ID   work.JobID
	// Job is the encoded job of a Submit.
	Job   []byte
	Queue string
	Team  string
}

// Outcome is what became of a Question.
type Outcome int

// Outcomes of a question.
const (
	// Answered means that the question is answered.
	Answered Outcome = iota
	// UnknownJob means that there is no such job.
	UnknownJob
	// Denied means that the job belongs to another team.
	Denied
	// NotDone means that nothing was done and nothing will be.
	NotDone
	// Overload means that nothing was done because it could not be done in time.
	Overload
	// Undecided means that it may or may not have been done.
	Undecided
	// NotHolder means that the asked process is not the holder.
	NotHolder
)

// String names the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "unknown", "denied", "notDone", "overload", "undecided", "notHolder"}[o]
}

// Reply is the answer to a Question.
type Reply struct {
	Outcome Outcome
	State   work.State
	Pending int
	// RetryMs says when to come back, in milliseconds.
	RetryMs int64
	Cause   string
}

// Heartbeat tells the holder that a process follows it.
type Heartbeat struct {
	Node    string
	Address string
	Epoch   int64
	// Version is the newest configuration that the sender knows.
	Version int64
	// Share is the part of a core that the sender may use.
	Share float64
	// StoreLost means that the sender does not reach the store, so that it learns of configurations only from others.
	StoreLost bool
	// AsksMembers means that the reply should list the members.
	AsksMembers bool
}

// Member is a process that follows the holder.
type Member struct {
	Address string
	// Share is the part of a core that it may use.
	Share float64
}

// HeartbeatReply is the reply to a Beat.
type HeartbeatReply struct {
	// Epoch and Address name the holder that the asked process knows.
	Epoch   int64
	Address string
	// Holds means that the asked process is that holder.
	Holds bool
	// Troubled means that the holder cannot write to the store.
	Troubled bool
	// Config is the newest configuration as written, if it is newer than the sender's.
	Config []byte
	// Members are all processes that follow the holder, if the sender asked for them.
	Members []Member
	// WallMs is the time of day at the asked process in milliseconds since 1970.
	WallMs int64
}

// Probe asks a process how long ago it heard from a holder.
type Probe struct {
	Epoch int64
}

// ProbeReply is the reply to a Sight.
type ProbeReply struct {
	// AgoMs is -1 where the process has not heard from that holder.
	AgoMs int64
	Epoch int64
	// Config is the newest configuration as written that the process knows.
	Config []byte
}

// Notice tells a process that another one holds.
type Notice struct {
	Epoch   int64
	Node    string
	Address string
	// Version is the newest configuration that the holder knows, Config as written.
	Version int64
	Config  []byte
	// Vacant means that the holder gives up and another process should take over, the successor first if one is named.
	Vacant    bool
	Successor string
}

// NoticeReply is the empty reply to News.
type NoticeReply struct{}

// Handler answers calls of other processes.
type Handler interface {
	HandleRequest(Request) Reply
	HandleHeartbeat(Heartbeat) HeartbeatReply
	HandleProbe(Probe) ProbeReply
	HandleNotice(Notice)
}
