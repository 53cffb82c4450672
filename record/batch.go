package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// formatVersion is the only version of the encoding that this program writes and reads.
const formatVersion = 1

// maxRecords bounds what one decoded batch may hold.
const maxRecords = 65536

// Batch is what one append writes: records of one writer that take effect together at one offset.
type Batch struct {
	// Writer is unique to one run of one process.
	Writer string
	// Sequence grows by one with each batch of the writer, so that a repeated append is folded once.
	Sequence uint64
	// TimeMs is the writer's clock in milliseconds since the Unix epoch.
	TimeMs  int64
	Records []Record
}

// FormatError reports a batch that cannot be read.
type FormatError struct {
	Reason string
}

// Error describes what is wrong with the batch.
func (e *FormatError) Error() string { return "malformed batch: " + e.Reason }

// wireBatch and the small records are arrays, because names would be most of their bytes.
type wireBatch struct {
	_ struct{} `cbor:",toarray"`

	Version  int          `json:"version"`
	Writer   string       `json:"writer"`
	Sequence uint64       `json:"sequence"`
	TimeMs   int64        `json:"timeMs"`
	Records  []wireRecord `json:"records"`
}

type wireRecord struct {
	_ struct{} `cbor:",toarray"`

	Kind string          `json:"kind"`
	Body cbor.RawMessage `json:"body"`
}

// Encode returns the batch as CBOR.
func Encode(b Batch) ([]byte, error) {
	wire := wireBatch{Version: formatVersion, Writer: b.Writer, Sequence: b.Sequence, TimeMs: b.TimeMs}
	for _, r := range b.Records {
		body, err := cbor.Marshal(r)
		if err != nil {
			return nil, trace.Wrap(err, "encoding %s", r.kind())
		}
		wire.Records = append(wire.Records, wireRecord{Kind: r.kind(), Body: body})
	}
	return cbor.Marshal(wire)
}

// Decode reads a batch, and returns a *FormatError when it is malformed.
func Decode(data []byte) (Batch, error) {
	var wire wireBatch
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return Batch{}, &FormatError{Reason: err.Error()}
	}
	if wire.Version != formatVersion {
		return Batch{}, &FormatError{Reason: fmt.Sprintf("version %d", wire.Version)}
	}
	if wire.Writer == "" {
		return Batch{}, &FormatError{Reason: "no writer"}
	}
	if len(wire.Records) > maxRecords {
		return Batch{}, &FormatError{Reason: "too many records"}
	}
	b := Batch{Writer: wire.Writer, Sequence: wire.Sequence, TimeMs: wire.TimeMs}
	for _, w := range wire.Records {
		r, err := decodeRecord(w)
		if err != nil {
			return Batch{}, err
		}
		b.Records = append(b.Records, r)
	}
	return b, nil
}

func decodeRecord(w wireRecord) (Record, error) {
	switch w.Kind {
	case Change{}.kind():
		return body[Change](w)
	case Join{}.kind():
		return body[Join](w)
	case Renew{}.kind():
		return body[Renew](w)
	case Leave{}.kind():
		return body[Leave](w)
	case Expire{}.kind():
		return body[Expire](w)
	case Ask{}.kind():
		return body[Ask](w)
	case Give{}.kind():
		return body[Give](w)
	case Claim{}.kind():
		return body[Claim](w)
	case Unclaim{}.kind():
		return body[Unclaim](w)
	default:
		return nil, &FormatError{Reason: "unknown kind " + w.Kind}
	}
}

func body[R Record](w wireRecord) (Record, error) {
	var r R
	if err := cbor.Unmarshal(w.Body, &r); err != nil {
		return nil, &FormatError{Reason: w.Kind + ": " + err.Error()}
	}
	return r, nil
}
