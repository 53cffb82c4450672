package share

import (
	"cmp"
	"slices"
)

// Claim is one contender for a capacity that Divide divides.
type Claim struct {
	// Want is the number of slots that the contender can use.
	Want int
	// Weight is the contender's relative weight, at least one.
	Weight int
	// Got is the number of slots that Divide allocates.
	Got int

	index int
}

// Divide sets Got of each contender to its weighted max-min fair share of capacity in whole slots. It keeps the order of the contenders.
func Divide(capacity int, contenders []Claim) {
	totalWeight := 0
	for i := range contenders {
		contenders[i].index = i
		contenders[i].Got = 0
		contenders[i].Weight = max(contenders[i].Weight, 1)
		contenders[i].Want = max(contenders[i].Want, 0)
		totalWeight += contenders[i].Weight
	}
	// Contenders whose demand is within their fair share come first in the order of demand per weight.
	slices.SortFunc(contenders, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Want*b.Weight, b.Want*a.Weight), cmp.Compare(a.index, b.index))
	})
	remaining := max(capacity, 0)
	for i := range contenders {
		c := &contenders[i]
		if c.Want*totalWeight > remaining*c.Weight {
			divideByWeight(remaining, totalWeight, contenders[i:])
			break
		}
		c.Got = c.Want
		remaining -= c.Got
		totalWeight -= c.Weight
	}
	slices.SortFunc(contenders, func(a, b Claim) int { return cmp.Compare(a.index, b.index) })
}

// divideByWeight divides the slots in proportion to weight, rounded down, and gives the remaining ones by largest remainder.
func divideByWeight(remaining, totalWeight int, contenders []Claim) {
	allocated := 0
	for i := range contenders {
		contenders[i].Got = remaining * contenders[i].Weight / totalWeight
		allocated += contenders[i].Got
	}
	slices.SortFunc(contenders, func(a, b Claim) int {
		ra := remaining * a.Weight % totalWeight
		rb := remaining * b.Weight % totalWeight
		return cmp.Or(cmp.Compare(rb, ra), cmp.Compare(a.index, b.index))
	})
	for i := 0; allocated < remaining && i < len(contenders); i++ {
		if contenders[i].Got < contenders[i].Want {
			contenders[i].Got++
			allocated++
		}
	}
}
