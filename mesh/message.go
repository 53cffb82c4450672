package mesh

import "lavenderwing.example/lavenderwing/work"

// Kind is the kind of a Request. Its values are sent as numbers.
type Kind int

// Kinds of callers' requests.
const (
	Submit Kind = iota
	Status
	Cancel
	Pending
)

// Request is a caller's request that only the holder can answer. It is exported because net/rpc requires that.
type Request struct {
	Kind Kind
	ID   work.JobID
	// Job is the encoded job if Kind is Submit.
	Job   []byte
	Queue string
	Team  string
}

// Outcome is the result of a Request. Its values are sent as numbers.
type Outcome int

// Outcomes of callers' requests.
const (
	// Answered means that the request succeeded.
	Answered Outcome = iota
	// UnknownJob means that there is no such job.
	UnknownJob
	// Denied means that the job belongs to another team.
	Denied
	// NotDone means that the request had no effect and will have none.
	NotDone
	// Overload means that the request had no effect because the job would wait longer than it may.
	Overload
	// Undecided means that the request may or may not have had an effect.
	Undecided
	// NotHolder means that the called process is not the holder.
	NotHolder
	// Conflict means that the identifier of a submitted job is that of a job of another team. The request had no effect.
	Conflict
	// TooLarge means that the job can never be run, because the store does not take its record. The request had no effect.
	TooLarge
)

// String names the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "unknown", "denied", "notDone", "overload", "undecided", "notHolder", "conflict", "tooLarge"}[o]
}

// Reply is the reply to a Request. Which fields are set depends on the request's kind and on the outcome.
type Reply struct {
	Outcome Outcome
	State   work.State
	Pending int
	// RetryMs is how long the caller should wait before it retries, in milliseconds.
	RetryMs int64
	Cause   string
}

// Heartbeat tells the holder that a process follows it.
type Heartbeat struct {
	Node    string
	Address string
	Epoch   int64
	// Version is the version of the newest configuration that the sender knows.
	Version int64
	// Share is the CPU share of the sender, in cores.
	Share float64
	// StoreLost means that the sender does not reach the store and receives configurations only from other processes.
	StoreLost bool
	// Stopping means that the sender is stopping and cannot become the holder.
	Stopping bool
	// UptimeMs is how long the sender has been running, in milliseconds.
	UptimeMs int64
	// Zone is the availability zone of the sender.
	Zone string
	// AsksMembers requests the list of members in the reply.
	AsksMembers bool
}

// Member is the holder or a process that follows it.
type Member struct {
	Address string
	// Share is the CPU share of the process, in cores.
	Share float64
}

// HeartbeatReply is the reply to a Heartbeat.
type HeartbeatReply struct {
	// Epoch and Address identify the holder that the called process knows.
	Epoch   int64
	Address string
	// Holds means that the called process is that holder.
	Holds bool
	// Troubled means that the holder cannot write to the store.
	Troubled bool
	// Isolated means that the holder cannot write to the store and hears no process of another availability zone.
	Isolated bool
	// Config is the newest configuration as operators wrote it, if it is newer than the sender's.
	Config []byte
	// Members are the live members, if the sender asked for them.
	Members []Member
	// WallMs is the called process's process time in milliseconds: the time of day at its start, and the time since then.
	WallMs int64
	// FencedMs is the holder's process time when earlier holders could no longer write to the store, 0 if they still may.
	FencedMs int64
}

// Probe asks a process how long ago it heard the holder of an epoch.
type Probe struct {
	Epoch int64
}

// ProbeReply is the reply to a Probe.
type ProbeReply struct {
	// AgoMs is how long ago the process heard the holder of the probe's epoch, or -1 if it follows another holder or believes that holder gone.
	AgoMs int64
	// Epoch is the epoch of the holder that the called process knows.
	Epoch int64
	// Config may hold the newest configuration that the called process knows, as operators wrote it.
	Config []byte
}

// Notice tells a process that the sender became the holder or resigned.
type Notice struct {
	Epoch   int64
	Node    string
	Address string
	// Config may hold the newest configuration that the holder knows, as operators wrote it, and Version its version.
	Version int64
	Config  []byte
	// Vacant means that the sender resigned and another process should claim. If Successor is set, the process at that address claims first.
	Vacant    bool
	Successor string
}

// NoticeReply is the empty reply to a Notice.
type NoticeReply struct{}

// Handler handles the calls of other processes.
type Handler interface {
	HandleRequest(Request) Reply
	HandleHeartbeat(Heartbeat) HeartbeatReply
	HandleProbe(Probe) ProbeReply
	HandleNotice(Notice)
}
