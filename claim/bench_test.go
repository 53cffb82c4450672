package claim

import (
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/google/uuid"

	"lavenderwing.example/lavenderwing/record"
)

// windowClaims is what 100 claims a second leave in a window of 15 minutes.
const windowClaims = 90_000

// BenchmarkClaims measures the memory of a window of claims, the fold of one and its bytes in the log.
func BenchmarkClaims(b *testing.B) {
	writer := "10.0.0.1:9000/01a23f97-ee68-7431-9750-72a8fbe26aa4"
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var table *Table
	for b.Loop() {
		table = newTable()
		for i := range uint64(windowClaims) {
			id := issued(epoch, 0)
			binary.BigEndian.PutUint64(id[8:], i)
			table.apply(int64(i+1), batch(writer, i+1, epoch, record.Claim{Request: id}))
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*windowClaims), "ns/claim")
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
	one, _ := record.Encode(batch(writer, 1, epoch, record.Claim{Request: uuid.UUID{}}))
	two, _ := record.Encode(batch(writer, 1, epoch, record.Claim{}, record.Claim{}))
	b.ReportMetric(float64(len(one)), "bytes/first")
	b.ReportMetric(float64(len(two)-len(one)), "bytes/further")
	runtime.KeepAlive(table)
}
