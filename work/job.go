package work

// JobID is the identifier that the caller chose: 16 hexadecimal digits.
type JobID string

// idLength is the number of digits of a job's identifier.
const idLength = 16

// ValidJobID reports whether the text can identify a job.
func ValidJobID(text string) bool {
	if len(text) != idLength {
		return false
	}
	for i := range idLength {
		c := text[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Step is a number of like work items of a job.
type Step struct {
	_     struct{} `cbor:",toarray"`
	Count int
	Demand   Resources
	// EstimateMs is the caller's guess of one item's run time in milliseconds.
	EstimateMs int64
	// After lists the earlier steps whose items must all be done first.
	After         []int
	Checkpointing bool
	// Gang items work only while all of them are present, and end together.
	Gang bool
	// RackSensitive items are slow when they run on more than one rack.
	RackSensitive bool
	// RequiredLabel is what a target must carry to run the items, if not empty.
	RequiredLabel string
	// DataRack is the rack that holds the data, if not empty.
	DataRack string
	// MaxPerTarget bounds the items of one occurrence on one target, if not 0.
	MaxPerTarget int
	Speculative  bool
	// Serving items run until the job is cancelled.
	Serving bool
	// Image names what the items run; items of one image behave alike.
	Image string
	// MaxTailLatencyMs is the bound on a serving item's response times in milliseconds.
	MaxTailLatencyMs int64
	// BestEffort items take the processor time that others leave; their CPU is not charged to the target.
	BestEffort bool
	// MaxUnavailable bounds the serving items that actions of the system may take away at once, if not 0.
	MaxUnavailable int
}

// Reservation is what one item of the step takes of a target's capacity.
func (s *Step) Reservation() Resources {
	if s.BestEffort {
		return Resources{MemMB: s.Demand.MemMB, GPUs: s.Demand.GPUs}
	}
	return s.Demand
}

// Job is what a caller handed in, as it is kept in the store.
type Job struct {
	_     struct{} `cbor:",toarray"`
	ID    JobID
	Queue string
	// Pool is the pool that the queue led to when the job was accepted.
	Pool string
	Team    string
	Spec    string
	Steps   []Step
	// FirstRunMs is when the first occurrence is due, in milliseconds since 1970, if Times is not 0.
	FirstRunMs int64
	IntervalMs int64
	// Occurrences is the number of occurrences, 0 for a job that runs once.
	Occurrences int
	// AcceptedMs is the time of day of the accepting process.
	AcceptedMs int64
}

// InvalidJobError says why a job can never run.
type InvalidJobError struct {
	Reason string
}

// Error returns the reason.
func (e *InvalidJobError) Error() string { return "job not acceptable: " + e.Reason }

// Bounds on a job that the process is willing to keep.
const (
	// MaxSpecBytes is the longest spec in bytes, from the platform's interface.
	MaxSpecBytes = 4000
	// MaxSteps and MaxItems bound a job's record to a fraction of the store's largest record.
	MaxSteps = 100
	MaxItems = 5000
)

// Validate returns an InvalidError for a job that cannot be carried out as it is written.
func (j *Job) Validate() error {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return &InvalidJobError{Reason: "spec too long"}
	case len(j.Steps) == 0:
		return &InvalidJobError{Reason: "no steps"}
	case len(j.Steps) > MaxSteps:
		return &InvalidJobError{Reason: "too many steps"}
	case j.Occurrences < 0 || j.IntervalMs < 0 || j.FirstRunMs < 0:
		return &InvalidJobError{Reason: "negative schedule"}
	}
	items := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count <= 0 || s.Count > MaxItems {
			return &InvalidJobError{Reason: "count out of range"}
		}
		if s.Demand.CPU < 0 || s.Demand.MemMB < 0 || s.Demand.GPUs < 0 || s.EstimateMs < 0 || s.MaxPerTarget < 0 || s.MaxUnavailable < 0 {
			return &InvalidJobError{Reason: "negative demand"}
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return &InvalidJobError{Reason: "after names no earlier step"}
			}
		}
		items += s.Count
	}
	if items*max(j.Occurrences, 1) > MaxItems {
		return &InvalidJobError{Reason: "too many work items"}
	}
	return nil
}

// CriticalPathMs is the longest chain of estimated run times through the steps, in milliseconds.
func (j *Job) CriticalPathMs() int64 {
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
