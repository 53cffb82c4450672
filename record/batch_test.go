package record

import (
	"errors"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/fleet"
)

func sampleRecords() []Record {
	return []Record{
		Change{Operator: "op", Puts: []Put{NewPut(fleet.Team{Name: "carvers", Partner: "sibiu", Share: 2, Limit: 8}, 7), NewPut(fleet.KeyFromSecret("k", "carvers", "s"), 0)}},
		Join{Seat: "10.0.0.1:9000", Incarnation: "i", Zone: "sibiu-a", Address: "10.0.0.1:8000"},
		Renew{Seat: "10.0.0.1:9000", Incarnation: "i"},
		Leave{Seat: "10.0.0.1:9000", Incarnation: "i"},
		Expire{Seat: "10.0.0.1:9000", Incarnation: "i", RenewalOffset: 9},
		AcquireUnits{Seat: "10.0.0.1:9000", Incarnation: "i", Team: "carvers", Want: 3},
		ReleaseUnits{Seat: "10.0.0.1:9000", Incarnation: "i", Team: "carvers", Keep: 1},
		Claim{Request: uuid.MustParse("01a23f97-ee68-7431-9750-72a8fbe26aa4")},
		Unclaim{Request: uuid.MustParse("01a23f97-ee68-7431-9750-72a8fbe26aa4")},
	}
}

// TestRecordsRoundTrip checks that decoding restores every kind of record with all its fields. A kind that decodeRecord
// does not know would make readers skip the whole batch.
func TestRecordsRoundTrip(t *testing.T) {
	is := is.New(t)
	b := Batch{Writer: "w", Sequence: 3, TimeMs: 1_800_000_000_000, Records: sampleRecords()}
	data, err := Encode(b)
	is.NoErr(err)
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(got, b)
}

// FuzzDecode checks that no input makes the decoder panic, because such an entry in the log would crash every process
// that reads it. Malformed input must give a *FormatError, and every accepted batch can be encoded again.
func FuzzDecode(f *testing.F) {
	data, err := Encode(Batch{Writer: "w", Sequence: 1, Records: sampleRecords()})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Decode(data)
		if err != nil {
			var format *FormatError
			if !errors.As(err, &format) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if _, err := Encode(b); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkEncodeRenew reports the encoded size of a lease renewal, the most frequent record when nothing else happens.
func BenchmarkEncodeRenew(b *testing.B) {
	id := "01a23f97-ee68-7431-9750-72a8fbe26aa4"
	batch := Batch{Writer: id, Sequence: 3, TimeMs: 1_800_000_000_000, Records: []Record{Renew{Seat: "10.0.0.1:9000", Incarnation: id}}}
	var data []byte
	for b.Loop() {
		data, _ = Encode(batch)
	}
	b.ReportMetric(float64(len(data)), "bytes")
}
