package work

// JobID is a job's identifier, 16 hexadecimal digits chosen by the caller.
type JobID string

const jobIDLength = 16

// ValidID reports whether the text has the form of a JobID.
func ValidID(text string) bool {
	if len(text) != jobIDLength {
		return false
	}
	for i := range jobIDLength {
		c := text[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Step is a set of identical work items of a job.
type Step struct {
	_     struct{} `cbor:",toarray"`
	Count int
	Ask   Amount
	// EstimateMs is the caller's estimate of one item's run time.
	EstimateMs int64
	// After lists the indexes of earlier steps that must be complete before this one starts.
	After         []int
	Checkpointing bool
	// Gang items make progress only while all of them run, and they end together.
	Gang bool
	// RackSensitive items run slower when they are spread over several racks.
	RackSensitive bool
	// Label is the label that a target needs to run the items; empty means any target.
	Label string
	// DataRack is the rack that holds the input data; empty means no preference.
	DataRack string
	// MaxPerTarget limits the items of one occurrence on the same target; 0 means no limit.
	MaxPerTarget int
	Speculative  bool
	// Serving items run until the job is cancelled.
	Serving bool
	// Image is the program that the items run; items with the same image behave alike.
	Image string
	// TailMs is the highest acceptable tail latency of a serving item.
	TailMs int64
	// Fills items use only idle processor time, so their CPU is not reserved on the target.
	Fills bool
	// MaxAway limits the serving items that evictions and maintenance may make unavailable at once; 0 means no limit.
	MaxAway int
}

// Charge returns the capacity that one item of the step reserves on a target.
func (s *Step) Charge() Amount {
	if s.Fills {
		return Amount{MemMB: s.Ask.MemMB, GPUs: s.Ask.GPUs}
	}
	return s.Ask
}

// Job is a submitted job as it is stored.
type Job struct {
	_     struct{} `cbor:",toarray"`
	ID    JobID
	Queue string
	// Service is the queue's pool at the time the job was accepted.
	Service string
	Team    string
	Spec    string
	Steps   []Step
	// FirstMs is when the first occurrence is due, in milliseconds since the Unix epoch; it is used if Times is not 0.
	FirstMs int64
	EveryMs int64
	// Times is the number of occurrences of a recurring job, 0 for a job that runs once.
	Times int
	// AcceptedMs is the acceptance time by the clock of the accepting process, in milliseconds since the Unix epoch.
	AcceptedMs int64
}

// InvalidError reports why a job can never run.
type InvalidError struct {
	Reason string
}

// Error returns a message with the reason.
func (e *InvalidError) Error() string { return "job not acceptable: " + e.Reason }

// Limits on the size of an accepted job.
const (
	// MaxSpec is the platform's limit on the length of a spec in bytes.
	MaxSpec = 4000
	// MaxSteps and MaxItems keep a job's record well below the store's limit on the size of a record.
	MaxSteps = 100
	MaxItems = 5000
)

// Check returns an InvalidError if the job cannot run as specified.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > MaxSpec:
		return &InvalidError{Reason: "spec too long"}
	case len(j.Steps) == 0:
		return &InvalidError{Reason: "no steps"}
	case len(j.Steps) > MaxSteps:
		return &InvalidError{Reason: "too many steps"}
	case j.Times < 0 || j.EveryMs < 0 || j.FirstMs < 0:
		return &InvalidError{Reason: "negative schedule"}
	}
	items := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count <= 0 || s.Count > MaxItems {
			return &InvalidError{Reason: "count out of range"}
		}
		if s.Ask.CPU < 0 || s.Ask.MemMB < 0 || s.Ask.GPUs < 0 || s.EstimateMs < 0 || s.MaxPerTarget < 0 || s.MaxAway < 0 {
			return &InvalidError{Reason: "negative demand"}
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return &InvalidError{Reason: "after names no earlier step"}
			}
		}
		items += s.Count
	}
	if items*max(j.Times, 1) > MaxItems {
		return &InvalidError{Reason: "too many work items"}
	}
	return nil
}

// ChainMs returns the length of the critical path through the steps, by estimated run times.
func (j *Job) ChainMs() int64 {
	ends := make([]int64, len(j.Steps))
	var longest int64
	for i := range j.Steps {
		var begin int64
		for _, a := range j.Steps[i].After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + j.Steps[i].EstimateMs
		longest = max(longest, ends[i])
	}
	return longest
}
