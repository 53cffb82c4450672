package work

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// JobProgress is the stored progress of a job; the store keeps the newest record of each job.
type JobProgress struct {
	_         struct{} `cbor:",toarray"`
	State     State
	Cancelled bool
	// Items holds every item that is no longer in its initial state, in no particular order. In the stored record those are left out that a ProgressSection holds.
	Items []ItemProgress
	// EndedMs is when the job reached a final state, in milliseconds since the Unix epoch.
	EndedMs int64
	// Sections holds the numbers of the ProgressSections whose items Items includes; it is not stored.
	Sections []int `cbor:"-"`
}

// ProgressSection is a part of the stored progress of a job with many items; the store keeps the newest record of each section.
type ProgressSection struct {
	_     struct{} `cbor:",toarray"`
	Items []ItemProgress
}

// ItemProgress is the stored progress of a work item.
type ItemProgress struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Done       bool
	// Run is the highest run number given to a start of the item.
	Run int
	// Failures counts the runs that ended in failure.
	Failures int
	// Target is where a run may be in progress, or empty.
	Target TargetID
	// Checkpoint is the newest known checkpoint, if any.
	Checkpoint string
	// Incarnation is the start time of the target's incarnation to which the run was ordered, in milliseconds since the Unix epoch; 0 if it is not known or there is no run.
	Incarnation int64
	// Crashes counts the targets that have crashed while they ran the item, and Explained those crashes that another item was found to have caused.
	Crashes   int
	Explained int
	// Suspect means that the item may have crashed a target, and OnTrial that its run is a trial.
	Suspect bool
	OnTrial bool
}

// HasFinalState reports whether an encoded JobProgress says that the job has ended, without decoding its items.
func HasFinalState(value []byte) bool {
	// The record is an array of at most 23 elements, which begins with the state as a number below 24; CBOR encodes each in one byte.
	const arrayOfFour = 0x84
	return len(value) > 1 && value[0] == arrayOfFour && value[1] <= byte(Cancelled) && State(value[1]).Final()
}

// earlierItemProgress is an ItemProgress as it was stored before crashes were counted. It repeats the fields, because the stored form stays as it is when ItemProgress changes.
type earlierItemProgress struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Done       bool
	Run        int
	Failures   int
	Target     TargetID
	Checkpoint string
}

// UnmarshalCBOR decodes a record of this version or of the one before, which a process may find during an upgrade.
func (p *ItemProgress) UnmarshalCBOR(b []byte) error {
	type plain ItemProgress
	var present plain
	err := decoder.Unmarshal(b, &present)
	if err == nil {
		*p = ItemProgress(present)
		return nil
	}
	var earlier earlierItemProgress
	if decoder.Unmarshal(b, &earlier) != nil {
		return trace.Wrap(err)
	}
	*p = ItemProgress{
		Occurrence: earlier.Occurrence, Step: earlier.Step, Index: earlier.Index, Done: earlier.Done, Run: earlier.Run,
		Failures: earlier.Failures, Target: earlier.Target, Checkpoint: earlier.Checkpoint,
	}
	return nil
}

// WaveProgress is the stored progress of a maintenance wave.
type WaveProgress struct {
	_ struct{} `cbor:",toarray"`
	// Started lists the hosts whose maintenance the cloud has accepted. Once the wave is complete it also lists those that were gone, and an empty name if there are no hosts; earlier versions listed none then.
	Started   []string
	Completed bool
}

// Encode encodes a record for the store.
func Encode(record any) ([]byte, error) {
	b, err := cbor.Marshal(record)
	return b, trace.Wrap(err)
}

// decoder accepts texts that are not valid UTF-8, because records hold texts of targets, such as checkpoints, as they came.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		// Not reached: the option exists.
		panic(err)
	}
	return mode
}

// Decode decodes a stored record into record.
func Decode(b []byte, record any) error {
	return trace.Wrap(decoder.Unmarshal(b, record))
}

// HolderClockRecord relates a holder's process time to the clocks of some targets. It is stored with each batch of orders for hosts, so that a successor that has never heard the holder can tell how old they are.
type HolderClockRecord struct {
	_            struct{} `cbor:",toarray"`
	FencingToken int64
	// ProcessMs is the holder's process time when the batch was taken, and Clocks what the targets' clocks showed then at most.
	ProcessMs int64
	Clocks    []TargetClock
}

// RunStatsRecord holds what a holder has learned of run times, so that its successor need not begin anew.
type RunStatsRecord struct {
	_      struct{} `cbor:",toarray"`
	Queues []QueueRunStats
}

// QueueRunStats holds the statistics of a queue's finished runs, in logarithms of milliseconds.
type QueueRunStats struct {
	_     struct{} `cbor:",toarray"`
	Queue string
	Runs  float64
	// Mean and Variance are of the run times, Bias and ErrorVariance of their ratios to the declared ones.
	Mean          float64
	Variance      float64
	Bias          float64
	ErrorVariance float64
}

// TargetClock is a reading of the clock of one incarnation of a target.
type TargetClock struct {
	_      struct{} `cbor:",toarray"`
	Target TargetID
	// StartedMs identifies the incarnation.
	StartedMs int64
	ClockMs   int64
}

// HostOrderRecord is the last order for a host, stored before the order is sent.
type HostOrderRecord struct {
	_ struct{} `cbor:",toarray"`
	// Pool is the destination of a move and Wave the reason for maintenance; exactly one of them is set.
	Pool         string
	Wave         int64
	FencingToken int64
	// Node issued the order at IssuedMs of its process time: the time of day at the start of the process, in milliseconds since the Unix epoch, and the time since then.
	Node     string
	IssuedMs int64
}
