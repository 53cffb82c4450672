package claim

import (
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/google/uuid"

	"lavenderwing.example/lavenderwing/record"
)

// claimsPerWindow is the number of claims in a window of 15 minutes at 100 claims per second.
const claimsPerWindow = 90_000

// BenchmarkClaims measures the memory of a full window of claims, and the time and log bytes per claim.
func BenchmarkClaims(b *testing.B) {
	writer := "10.0.0.1:9000/01a23f97-ee68-7431-9750-72a8fbe26aa4"
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var table *Table
	for b.Loop() {
		table = newTable()
		for i := range uint64(claimsPerWindow) {
			id := newRequestID(startTime, 0)
			binary.BigEndian.PutUint64(id[8:], i)
			table.apply(int64(i+1), batch(writer, i+1, startTime, record.Claim{Request: id}))
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*claimsPerWindow), "ns/claim")
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
	one, _ := record.Encode(batch(writer, 1, startTime, record.Claim{Request: uuid.UUID{}}))
	two, _ := record.Encode(batch(writer, 1, startTime, record.Claim{}, record.Claim{}))
	b.ReportMetric(float64(len(one)), "bytes/first")
	b.ReportMetric(float64(len(two)-len(one)), "bytes/further")
	runtime.KeepAlive(table)
}
