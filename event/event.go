package event

// Event is one decision or change, with what is needed to find its cause in another process.
type Event struct {
	TimeMs      int64  `json:"timeMs"`
	Process     string `json:"process"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	// Offset is the log offset that the process had folded when the event happened.
	Offset int64 `json:"offset"`
	// Kind names what happened.
	Kind string `json:"kind"`
	// Subject is the request, team, target, host or process that it happened to.
	Subject string `json:"subject"`
	// Cause is the subject or the log offset that explains it.
	Cause  string `json:"cause"`
	Detail string `json:"detail"`
}

// Kinds of events.
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
