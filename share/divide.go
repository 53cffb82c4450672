package share

import (
	"cmp"
	"slices"
)

// Contender is one of the parties among which Divide divides a capacity.
type Contender struct {
	// Demand is the number of slots that the contender can use.
	Demand int
	// Weight is the contender's relative weight, at least one.
	Weight int
	// Allocated is the number of slots that Divide allocates to the contender.
	Allocated int

	index int
}

// Divide sets Allocated of each contender to its weighted max-min fair share of capacity in whole slots. It keeps the order of the contenders.
func Divide(capacity int, contenders []Contender) {
	totalWeight := 0
	for i := range contenders {
		contenders[i].index = i
		contenders[i].Allocated = 0
		contenders[i].Weight = max(contenders[i].Weight, 1)
		contenders[i].Demand = max(contenders[i].Demand, 0)
		totalWeight += contenders[i].Weight
	}
	// Contenders whose demand is within their fair share come first in the order of demand per weight.
	slices.SortFunc(contenders, func(a, b Contender) int {
		return cmp.Or(cmp.Compare(a.Demand*b.Weight, b.Demand*a.Weight), cmp.Compare(a.index, b.index))
	})
	remaining := max(capacity, 0)
	for i := range contenders {
		c := &contenders[i]
		if c.Demand*totalWeight > remaining*c.Weight {
			divideByWeight(remaining, totalWeight, contenders[i:])
			break
		}
		c.Allocated = c.Demand
		remaining -= c.Allocated
		totalWeight -= c.Weight
	}
	slices.SortFunc(contenders, func(a, b Contender) int { return cmp.Compare(a.index, b.index) })
}

// divideByWeight divides the slots in proportion to weight, rounded down, and gives the remaining ones by largest remainder.
func divideByWeight(remaining, totalWeight int, contenders []Contender) {
	allocated := 0
	for i := range contenders {
		contenders[i].Allocated = remaining * contenders[i].Weight / totalWeight
		allocated += contenders[i].Allocated
	}
	slices.SortFunc(contenders, func(a, b Contender) int {
		ra := remaining * a.Weight % totalWeight
		rb := remaining * b.Weight % totalWeight
		return cmp.Or(cmp.Compare(rb, ra), cmp.Compare(a.index, b.index))
	})
	for i := 0; allocated < remaining && i < len(contenders); i++ {
		if contenders[i].Allocated < contenders[i].Demand {
			contenders[i].Allocated++
			allocated++
		}
	}
}
