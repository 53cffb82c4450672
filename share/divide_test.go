package share

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestDivide checks the division in small cases that can be worked out by hand.
func TestDivide(t *testing.T) {
	for name, c := range map[string]struct {
		capacity   int
		contenders []Contender
		want       []int
	}{
		"all satisfied":      {10, []Contender{{Demand: 3}, {Demand: 4}}, []int{3, 4}},
		"equal weights":      {10, []Contender{{Demand: 9}, {Demand: 9}}, []int{5, 5}},
		"weights":            {8, []Contender{{Demand: 9, Weight: 3}, {Demand: 9, Weight: 1}}, []int{6, 2}},
		"unused part passed": {10, []Contender{{Demand: 1, Weight: 5}, {Demand: 20, Weight: 1}}, []int{1, 9}},
		"largest remainder":  {7, []Contender{{Demand: 9, Weight: 2}, {Demand: 9, Weight: 1}}, []int{5, 2}},
		"no capacity":        {-1, []Contender{{Demand: 9}}, []int{0}},
		"no contenders":      {5, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			Divide(c.capacity, c.contenders)
			for i, got := range c.contenders {
				is.Equal(got.Allocated, c.want[i])
			}
		})
	}
}

// TestDivideMaxMinFairness checks in random cases that all slots are allocated as far as there is demand, and that no contender could pass one slot to a contender with unmet demand and still have more per weight.
func TestDivideMaxMinFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 300).Draw(t, "capacity")
		contenders := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Contender {
			return Contender{Demand: rapid.IntRange(0, 100).Draw(t, "demand"), Weight: rapid.IntRange(1, 9).Draw(t, "weight")}
		}), 1, 20).Draw(t, "contenders")
		Divide(capacity, contenders)
		allocated, wanted := 0, 0
		for _, c := range contenders {
			allocated += c.Allocated
			wanted += c.Demand
			if c.Allocated > c.Demand || c.Allocated < 0 {
				t.Fatalf("contender got %d slots, wanted %d", c.Allocated, c.Demand)
			}
		}
		if allocated != min(capacity, wanted) {
			t.Fatalf("allocated %d slots of %d, for a demand of %d", allocated, capacity, wanted)
		}
		for _, poor := range contenders {
			for _, rich := range contenders {
				if poor.Allocated < poor.Demand && (rich.Allocated-1)*poor.Weight > (poor.Allocated+1)*rich.Weight {
					t.Fatalf("contender %+v has unmet demand while %+v has more per weight", poor, rich)
				}
			}
		}
	})
}
