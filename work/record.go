package work

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// JobProgress is the record of how far a job is; the newest one of each job is kept.
type JobProgress struct {
	_         struct{} `cbor:",toarray"`
	State     State
	Cancelled bool
	// Items holds every item that has left its first state, in no order.
	Items []ItemProgress
	// EndedMs is the time of day at which the job reached a final state.
	EndedMs int64
}

// ItemProgress is how far a work item is.
type ItemProgress struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Done       bool
	// Run is the highest number that a start of the item was given.
	Run int
	// Failures counts the runs that ended failed.
	Failures int
	// Target holds the run that may be under way, if not empty.
	Target TargetID
	// Checkpoint is the newest known one, if any.
	Checkpoint string
}

// WaveProgress is the record of how far a wave is.
type WaveProgress struct {
	_ struct{} `cbor:",toarray"`
	// Started lists the hosts whose upkeep was ordered and accepted.
	Started     []string
	Completed bool
}

// Encode returns the bytes of a record.
func Encode(record any) ([]byte, error) {
	b, err := cbor.Marshal(record)
	return b, trace.Wrap(err)
}

// Decode fills the record from its bytes.
func Decode(b []byte, record any) error {
	return trace.Wrap(cbor.Unmarshal(b, record))
}

// HostOrderRecord is the record of the last order for a host, written before the order leaves.
type HostOrderRecord struct {
	_ struct{} `cbor:",toarray"`
	// Pool is where the host was moved, Wave what its upkeep was for; one of them is set.
	Pool  string
	Wave  int64
	FencingToken int64
	// Node gave the order at AtMs, a time of day in milliseconds since 1970.
	Node string
	IssuedMs int64
}
