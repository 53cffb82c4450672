package share

import (
	"cmp"
	"slices"
)

// Contender is one contender for a divided capacity.
type Contender struct {
	// Demand is the most that the contender can use, in slots.
	Demand int
	// Weight is the contender's relative right, at least one.
	Weight int
	// Allocated is what Divide gives, in slots.
	Allocated int

	index int
}

// Divide sets Got of each claim to its weighted max-min fair part of capacity, in whole slots, and keeps the order of claims.
func Divide(capacity int, claims []Contender) {
	weights := 0
	for i := range claims {
		claims[i].index = i
		claims[i].Allocated = 0
		claims[i].Weight = max(claims[i].Weight, 1)
		claims[i].Demand = max(claims[i].Demand, 0)
		weights += claims[i].Weight
	}
	// Contenders that are satisfied by their fair part come first in order of want per weight.
	slices.SortFunc(claims, func(a, b Contender) int {
		return cmp.Or(cmp.Compare(a.Demand*b.Weight, b.Demand*a.Weight), cmp.Compare(a.index, b.index))
	})
	left := max(capacity, 0)
	for i := range claims {
		claim := &claims[i]
		if claim.Demand*weights > left*claim.Weight {
			divideRest(left, weights, claims[i:])
			break
		}
		claim.Allocated = claim.Demand
		left -= claim.Allocated
		weights -= claim.Weight
	}
	slices.SortFunc(claims, func(a, b Contender) int { return cmp.Compare(a.index, b.index) })
}

// divideRest gives each claim its whole part by weight, and the remaining slots by largest remainder.
func divideRest(left, weights int, claims []Contender) {
	given := 0
	for i := range claims {
		claims[i].Allocated = left * claims[i].Weight / weights
		given += claims[i].Allocated
	}
	slices.SortFunc(claims, func(a, b Contender) int {
		ra := left * a.Weight % weights
		rb := left * b.Weight % weights
		return cmp.Or(cmp.Compare(rb, ra), cmp.Compare(a.index, b.index))
	})
	for i := 0; given < left && i < len(claims); i++ {
		if claims[i].Allocated < claims[i].Demand {
			claims[i].Allocated++
			given++
		}
	}
}
