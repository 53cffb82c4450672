package zones

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestOlderReadsUndoNothing guards against an evacuation that is revoked, or comes back, because two reads of the operators' topic overlap and the earlier one is applied last.
func TestOlderReadsUndoNothing(t *testing.T) {
	evacuate := func(zone string, offset int64) Record { return Record{Zone: zone, Active: true, Offset: offset} }
	remove := func(zone string, offset int64) Record { return Record{Zone: zone, Offset: offset} }
	for _, test := range []struct {
		name string
		set  Set
		want []string
	}{
		{"nothing read", Set{}, nil},
		{"evacuation", Set{}.With(evacuate("a", 3)), []string{"a"}},
		{"two zones", Set{}.With(evacuate("b", 3)).With(evacuate("a", 4)), []string{"a", "b"}},
		{"removal", Set{}.With(evacuate("a", 3)).With(remove("a", 5)), nil},
		{"evacuation read after its removal", Set{}.With(remove("a", 5)).With(evacuate("a", 3)), nil},
		{"removal read after a later evacuation", Set{}.With(evacuate("a", 7)).With(remove("a", 5)), []string{"a"}},
		{"full read without the evacuation", Set{}.With(evacuate("a", 3)).WithNewest(nil, 6), nil},
		{"full read that ends before the evacuation", Set{}.With(evacuate("a", 6)).WithNewest(nil, 6), []string{"a"}},
		{"evacuation read after a full read without it", Set{}.WithNewest(nil, 6).With(evacuate("a", 3)), nil},
		{"evacuation that follows a full read", Set{}.WithNewest(nil, 6).With(evacuate("a", 6)), []string{"a"}},
		{"full read with the evacuation", Set{}.WithNewest([]Record{evacuate("a", 3)}, 6), []string{"a"}},
		{"full read with an evacuation that has been removed since", Set{}.With(remove("a", 8)).WithNewest([]Record{evacuate("a", 3)}, 6), nil},
		{"earlier full read after a later one", Set{}.WithNewest(nil, 9).WithNewest([]Record{evacuate("a", 3)}, 6), nil},
		{"page of a full read that is newer than its first one", Set{}.WithNewest([]Record{evacuate("a", 8)}, 6).With(remove("a", 7)), []string{"a"}},
	} {
		t.Run(test.name, func(t *testing.T) { is.New(t).Equal(test.set.Zones(), test.want) })
	}
}

// TestSetDoesNotDependOnTheOrderOfReads guards against processes that hold on to different evacuations: any reads of parts of a log and of all newest records, applied in any order, give what the log says, once they cover it.
func TestSetDoesNotDependOnTheOrderOfReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			return Record{Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), Active: rapid.Bool().Draw(t, "active")}
		}), 1, 12).Draw(t, "records")
		for n := range records {
			records[n].Offset = int64(n)
		}
		// reads holds the reads of the log, each as a function that folds it into a set.
		reads := []func(Set) Set{partOf(records)}
		for range rapid.IntRange(0, 6).Draw(t, "reads") {
			from := rapid.IntRange(0, len(records)).Draw(t, "from")
			to := rapid.IntRange(from, len(records)).Draw(t, "to")
			if rapid.Bool().Draw(t, "newest") {
				reads = append(reads, newestOf(records[:to]))
			} else {
				reads = append(reads, partOf(records[from:to]))
			}
		}
		var set Set
		for _, n := range rapid.Permutation(indexes(len(reads))).Draw(t, "order") {
			set = reads[n](set)
		}
		want := newestOf(records)(Set{}).Zones()
		if got := set.Zones(); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// partOf returns a read of consecutive records.
func partOf(records []Record) func(Set) Set {
	return func(s Set) Set {
		for _, r := range records {
			s = s.With(r)
		}
		return s
	}
}

// newestOf returns a read of all newest records at the end of a log.
func newestOf(log []Record) func(Set) Set {
	latest := map[string]Record{}
	for _, r := range log {
		latest[r.Zone] = r
	}
	var newest []Record
	for _, r := range latest {
		if r.Active {
			newest = append(newest, r)
		}
	}
	return func(s Set) Set { return s.WithNewest(newest, int64(len(log))) }
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}
