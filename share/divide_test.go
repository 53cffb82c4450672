package share

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestDivide(t *testing.T) {
	for name, c := range map[string]struct {
		capacity int
		claims   []Contender
		want     []int
	}{
		"all satisfied":      {10, []Contender{{Demand: 3}, {Demand: 4}}, []int{3, 4}},
		"equal weights":      {10, []Contender{{Demand: 9}, {Demand: 9}}, []int{5, 5}},
		"weights":            {8, []Contender{{Demand: 9, Weight: 3}, {Demand: 9, Weight: 1}}, []int{6, 2}},
		"unused part passed": {10, []Contender{{Demand: 1, Weight: 5}, {Demand: 20, Weight: 1}}, []int{1, 9}},
		"largest remainder":  {7, []Contender{{Demand: 9, Weight: 2}, {Demand: 9, Weight: 1}}, []int{5, 2}},
		"no capacity":        {-1, []Contender{{Demand: 9}}, []int{0}},
		"nobody":             {5, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			Divide(c.capacity, c.claims)
			for i, got := range c.claims {
				is.Equal(got.Allocated, c.want[i])
			}
		})
	}
}

// TestDivideIsMaxMinFair checks that a contender that lacks slots never has fewer, per weight, than another could spare for it.
func TestDivideIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 300).Draw(t, "capacity")
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Contender {
			return Contender{Demand: rapid.IntRange(0, 100).Draw(t, "want"), Weight: rapid.IntRange(1, 9).Draw(t, "weight")}
		}), 1, 20).Draw(t, "claims")
		Divide(capacity, claims)
		given, wanted := 0, 0
		for _, c := range claims {
			given += c.Allocated
			wanted += c.Demand
			if c.Allocated > c.Demand || c.Allocated < 0 {
				t.Fatalf("got %d of wanted %d", c.Allocated, c.Demand)
			}
		}
		if given != min(capacity, wanted) {
			t.Fatalf("gave %d of %d for %d wanted", given, capacity, wanted)
		}
		for _, poor := range claims {
			for _, rich := range claims {
				if poor.Allocated < poor.Demand && (rich.Allocated-1)*poor.Weight > (poor.Allocated+1)*rich.Weight {
					t.Fatalf("%+v lacks slots while %+v has more per weight", poor, rich)
				}
			}
		}
	})
}
