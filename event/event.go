package event

// Event is one decision or change, with the fields that link it to its cause in another process.
type Event struct {
	TimeMs      int64  `json:"timeMs"`
	Process     string `json:"process"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	// Offset is the last log offset that the process had applied when the event happened.
	Offset int64 `json:"offset"`
	// Kind names what happened.
	Kind string `json:"kind"`
	// Subject is the request, team, target, host or process that the event is about.
	Subject string `json:"subject"`
	// Cause is the subject or the log offset that led to the event.
	Cause  string `json:"cause"`
	Detail string `json:"detail"`
}

// Kinds of events, as they appear in the timeline.
const (
	KindRefused  = "refused"
	KindRetried  = "retried"
	KindUnknown  = "unknown"
	KindTarget   = "target"
	KindMember   = "member"
	KindLease    = "lease"
	KindGrant    = "grant"
	KindConfig   = "config"
	KindLog      = "log"
	KindFresh    = "fresh"
	KindStart    = "start"
	KindStop     = "stop"
	KindAllocate = "allocate"
)
