package work

import (
	"unicode/utf8"

	"github.com/gravitational/trace"
)

// JobID is a job's identifier, 16 hexadecimal digits chosen by the caller.
type JobID string

const jobIDLength = 16

// ValidJobID reports whether the text has the form of a JobID.
func ValidJobID(text string) bool {
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
	_      struct{} `cbor:",toarray"`
	Count  int
	Demand Resources
	// EstimateMs is the caller's estimate of one item's run time.
	EstimateMs int64
	// After lists the indexes of earlier steps that must be complete before this one starts.
	After []int
	// Checkpointing items save checkpoints, from which a later run continues.
	Checkpointing bool
	// Gang items make progress only while all of them run, and they end together.
	Gang bool
	// RackSensitive items run slower when they are spread over several racks.
	RackSensitive bool
	// RequiredLabel is the label that a target needs to run the items; empty means any target.
	RequiredLabel string
	// DataRack is the rack that holds the input data; empty means no preference.
	DataRack string
	// MaxPerTarget limits how many items of this step, in one occurrence, run on the same target at once; 0 means no limit.
	MaxPerTarget int
	// Speculative is stored as the caller set it; scheduling does not use it.
	Speculative bool
	// Serving items run until the job is cancelled.
	Serving bool
	// Image is the program that the items run; items with the same image behave alike.
	Image string
	// MaxTailLatencyMs is the highest acceptable tail latency of a serving item.
	MaxTailLatencyMs int64
	// BestEffort items use only idle processor time, so their CPU is not reserved on the target.
	BestEffort bool
	// MaxUnavailable limits the serving items that evictions and maintenance may make unavailable at once; 0 means no limit.
	MaxUnavailable int
}

// Reservation returns the capacity that one item of the step reserves on a target.
func (s *Step) Reservation() Resources {
	if s.BestEffort {
		return Resources{MemMB: s.Demand.MemMB, GPUs: s.Demand.GPUs}
	}
	return s.Demand
}

// Job is a submitted job as it is stored.
type Job struct {
	_     struct{} `cbor:",toarray"`
	ID    JobID
	Queue string
	// Pool is the queue's pool at the time the job was accepted.
	Pool string
	Team string
	// Spec describes to the targets what the items do; it is passed on unchanged.
	Spec  string
	Steps []Step
	// FirstRunMs is when the first occurrence is due, in milliseconds since the Unix epoch. It is ignored if Occurrences is 0.
	FirstRunMs int64
	// IntervalMs is the time from the due time of one occurrence to that of the next.
	IntervalMs int64
	// Occurrences is how often the job runs by its schedule; 0 means that it runs once, without a schedule.
	Occurrences int
	// AcceptedMs is the acceptance time by the clock of the accepting process, in milliseconds since the Unix epoch.
	AcceptedMs int64
	// Terms holds for as long as the configuration lacks the queue; it is nil in records of earlier versions.
	Terms *QueueTerms
}

// QueueTerms is what an accepted job needs of its queue when operators have removed the queue; the fields are those of Queue.
type QueueTerms struct {
	_            struct{} `cbor:",toarray"`
	Priority     int
	MaxAttempts  int
	SlackFactor  float64
	FixedSlackMs int64
	Advisor      *AdvisorConfig
}

// AcceptedQueue returns the job's queue as it was when the job was accepted, without its route. The queue of a record of an earlier version allows one attempt.
func (j *Job) AcceptedQueue() *Queue {
	q := &Queue{Name: j.Queue, Pool: j.Pool, MaxAttempts: 1, SlackFactor: 1}
	if t := j.Terms; t != nil {
		q.Priority, q.MaxAttempts, q.SlackFactor, q.FixedSlackMs, q.Advisor = t.Priority, t.MaxAttempts, t.SlackFactor, t.FixedSlackMs, t.Advisor
	}
	return q
}

// earlierJob is a Job as it was stored before it had Terms. It repeats the fields, because the stored form stays as it is when Job changes.
type earlierJob struct {
	_           struct{} `cbor:",toarray"`
	ID          JobID
	Queue       string
	Pool        string
	Team        string
	Spec        string
	Steps       []Step
	FirstRunMs  int64
	IntervalMs  int64
	Occurrences int
	AcceptedMs  int64
}

// UnmarshalCBOR decodes a record of this version or of the one before, which a process may find during an upgrade.
func (j *Job) UnmarshalCBOR(b []byte) error {
	type plain Job
	var present plain
	err := decoder.Unmarshal(b, &present)
	if err == nil {
		*j = Job(present)
		return nil
	}
	var e earlierJob
	if decoder.Unmarshal(b, &e) != nil {
		return trace.Wrap(err)
	}
	*j = Job{
		ID: e.ID, Queue: e.Queue, Pool: e.Pool, Team: e.Team, Spec: e.Spec, Steps: e.Steps,
		FirstRunMs: e.FirstRunMs, IntervalMs: e.IntervalMs, Occurrences: e.Occurrences, AcceptedMs: e.AcceptedMs,
	}
	return nil
}

// InvalidJobError reports why a job can never run.
type InvalidJobError struct {
	Reason string
}

// Error returns a message with the reason.
func (e *InvalidJobError) Error() string { return "job not acceptable: " + e.Reason }

// Limits on the size of an accepted job.
const (
	// MaxSpecBytes is the limit on Job.Spec that the platform's interface sets.
	MaxSpecBytes = 4000
	// MaxSteps and MaxItems keep a job's record well below the store's limit on the size of a record. MaxItems counts the items of all occurrences.
	MaxSteps = 100
	MaxItems = 5000
	// MaxDemand bounds each amount of a step's demand (millicores, megabytes, GPUs), and MaxTimeMs each duration and due time in milliseconds. Sums and products of valid amounts thus never overflow.
	MaxDemand = 1_000_000_000
	MaxTimeMs = 100_000_000_000_000
)

// Validate returns an InvalidJobError if the job cannot run as specified.
func (j *Job) Validate() error {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return &InvalidJobError{Reason: "spec too long"}
	case len(j.Steps) == 0:
		return &InvalidJobError{Reason: "no steps"}
	case len(j.Steps) > MaxSteps:
		return &InvalidJobError{Reason: "too many steps"}
	case !utf8.ValidString(j.Spec):
		return &InvalidJobError{Reason: "spec is not valid UTF-8"}
	case j.Occurrences < 0 || j.IntervalMs < 0 || j.FirstRunMs < 0:
		return &InvalidJobError{Reason: "negative schedule"}
	case j.Occurrences > MaxItems || j.IntervalMs > MaxTimeMs || j.FirstRunMs > MaxTimeMs:
		return &InvalidJobError{Reason: "schedule out of range"}
	}
	items := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count <= 0 || s.Count > MaxItems {
			return &InvalidJobError{Reason: "count out of range"}
		}
		if err := s.validate(); err != nil {
			return err
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

// validate checks the numbers and texts of a step, apart from its count and its dependencies.
func (s *Step) validate() error {
	if s.Demand.CPU < 0 || s.Demand.MemMB < 0 || s.Demand.GPUs < 0 || s.EstimateMs < 0 || s.MaxPerTarget < 0 || s.MaxUnavailable < 0 || s.MaxTailLatencyMs < 0 {
		return &InvalidJobError{Reason: "negative demand"}
	}
	if max(s.Demand.CPU, s.Demand.MemMB, s.Demand.GPUs) > MaxDemand || max(s.EstimateMs, s.MaxTailLatencyMs) > MaxTimeMs {
		return &InvalidJobError{Reason: "demand out of range"}
	}
	for _, text := range []string{s.RequiredLabel, s.DataRack, s.Image} {
		if !utf8.ValidString(text) {
			return &InvalidJobError{Reason: "text is not valid UTF-8"}
		}
	}
	return nil
}

// CriticalPathMs returns the length of the critical path through the steps, by estimated run times.
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
