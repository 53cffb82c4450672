package event

// Event is one decision or change in a process; Cause and Offset link it to events of other processes.
type Event struct {
	TimeMs      int64  `json:"timeMs"`
	Process     string `json:"process"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	// Offset is the last log offset that the process had applied when the event happened.
	Offset int64 `json:"offset"`
	// Kind is one of the constants below.
	Kind string `json:"kind"`
	// Subject is the request, team, target, host or process that the event is about.
	Subject string `json:"subject"`
	// Cause is the subject or the log offset that led to the event.
	Cause  string `json:"cause"`
	Detail string `json:"detail"`
}

// Kinds of events, as they appear in the timeline.
const (
	// KindRefused is a request that was refused as not run.
	KindRefused = "refused"
	// KindRetried is a request that is sent to another target.
	KindRetried = "retried"
	// KindUnknown is a request whose caller was told that the outcome is unknown.
	KindUnknown = "unknown"
	// KindTarget is a change of a target's health, or of its host's state in the host list.
	KindTarget = "target"
	// KindMember is a peer that stopped or started to answer, or whose lease was declared expired.
	KindMember = "member"
	// KindLease is a record for the process's own lease that was rejected.
	KindLease = "lease"
	// KindGrant is used by no event.
	KindGrant = "grant"
	// KindConfig is a change of the configuration, or a version that came into force.
	KindConfig = "config"
	// KindLog is an offset that the log no longer keeps, or entries that a peer relayed.
	KindLog = "log"
	// KindFresh is used by no event.
	KindFresh = "fresh"
	// KindStart is the start of the process.
	KindStart = "start"
	// KindStop is the start of a graceful stop.
	KindStop = "stop"
	// KindAllocate is a change of the seat that divides the slots of a service.
	KindAllocate = "allocate"
)
