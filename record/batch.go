package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// formatVersion is the only version of the encoding that is written and accepted.
const formatVersion = 1

// maxRecordsPerBatch is the maximum number of records in a decoded batch.
const maxRecordsPerBatch = 65536

// Batch holds the records of one append to the log; they come from one writer and take effect together at one offset.
type Batch struct {
	// Writer identifies one run of one process.
	Writer string
	// Sequence grows by one with each batch of the writer, so that readers apply a repeated append only once.
	Sequence uint64
	// TimeMs is the time on the writer's clock, in milliseconds since the Unix epoch.
	TimeMs  int64
	Records []Record
}

// FormatError reports a batch that cannot be decoded.
type FormatError struct {
	Reason string
}

// Error returns the reason why the batch cannot be decoded.
func (e *FormatError) Error() string { return "malformed batch: " + e.Reason }

// encodedBatch is a CBOR array, as are all records except Change, because field names would take up most of their bytes.
type encodedBatch struct {
	_ struct{} `cbor:",toarray"`

	Version  int             `json:"version"`
	Writer   string          `json:"writer"`
	Sequence uint64          `json:"sequence"`
	TimeMs   int64           `json:"timeMs"`
	Records  []encodedRecord `json:"records"`
}

type encodedRecord struct {
	_ struct{} `cbor:",toarray"`

	Kind string          `json:"kind"`
	Body cbor.RawMessage `json:"body"`
}

// Encode returns the CBOR encoding of a batch.
func Encode(b Batch) ([]byte, error) {
	encoded := encodedBatch{Version: formatVersion, Writer: b.Writer, Sequence: b.Sequence, TimeMs: b.TimeMs}
	for _, r := range b.Records {
		body, err := cbor.Marshal(r)
		if err != nil {
			return nil, trace.Wrap(err, "encoding %s", r.kind())
		}
		encoded.Records = append(encoded.Records, encodedRecord{Kind: r.kind(), Body: body})
	}
	return cbor.Marshal(encoded)
}

// Decode parses an encoded batch; it returns a *FormatError when the data is malformed.
func Decode(data []byte) (Batch, error) {
	var encoded encodedBatch
	if err := cbor.Unmarshal(data, &encoded); err != nil {
		return Batch{}, &FormatError{Reason: err.Error()}
	}
	if encoded.Version != formatVersion {
		return Batch{}, &FormatError{Reason: fmt.Sprintf("unsupported version %d", encoded.Version)}
	}
	if encoded.Writer == "" {
		return Batch{}, &FormatError{Reason: "no writer"}
	}
	if len(encoded.Records) > maxRecordsPerBatch {
		return Batch{}, &FormatError{Reason: "too many records"}
	}
	b := Batch{Writer: encoded.Writer, Sequence: encoded.Sequence, TimeMs: encoded.TimeMs}
	for _, e := range encoded.Records {
		r, err := decodeRecord(e)
		if err != nil {
			return Batch{}, err
		}
		b.Records = append(b.Records, r)
	}
	return b, nil
}

func decodeRecord(e encodedRecord) (Record, error) {
	switch e.Kind {
	case Change{}.kind():
		return decodeBody[Change](e)
	case Join{}.kind():
		return decodeBody[Join](e)
	case Renew{}.kind():
		return decodeBody[Renew](e)
	case Leave{}.kind():
		return decodeBody[Leave](e)
	case Expire{}.kind():
		return decodeBody[Expire](e)
	case AcquireUnits{}.kind():
		return decodeBody[AcquireUnits](e)
	case ReleaseUnits{}.kind():
		return decodeBody[ReleaseUnits](e)
	case Claim{}.kind():
		return decodeBody[Claim](e)
	case Unclaim{}.kind():
		return decodeBody[Unclaim](e)
	default:
		return nil, &FormatError{Reason: "unknown kind " + e.Kind}
	}
}

func decodeBody[R Record](e encodedRecord) (Record, error) {
	var r R
	if err := cbor.Unmarshal(e.Body, &r); err != nil {
		return nil, &FormatError{Reason: e.Kind + ": " + err.Error()}
	}
	return r, nil
}
