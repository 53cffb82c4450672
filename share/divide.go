package share

import (
	"cmp"
	"slices"
)

// Claim is one contender for a divided capacity.
type Claim struct {
	// Want is the most that the contender can use, in slots.
	Want int
	// Weight is the contender's relative right, at least one.
	Weight int
	// Got is what Divide gives, in slots.
	Got int

	index int
}

// Divide sets Got of each claim to its weighted max-min fair part of capacity, in whole slots, and keeps the order of claims.
func Divide(capacity int, claims []Claim) {
	weights := 0
	for i := range claims {
		claims[i].index = i
		claims[i].Got = 0
		claims[i].Weight = max(claims[i].Weight, 1)
		claims[i].Want = max(claims[i].Want, 0)
		weights += claims[i].Weight
	}
	// Contenders that are satisfied by their fair part come first in order of want per weight.
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Want*b.Weight, b.Want*a.Weight), cmp.Compare(a.index, b.index))
	})
	left := max(capacity, 0)
	for i := range claims {
		claim := &claims[i]
		if claim.Want*weights > left*claim.Weight {
			divideRest(left, weights, claims[i:])
			break
		}
		claim.Got = claim.Want
		left -= claim.Got
		weights -= claim.Weight
	}
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.index, b.index) })
}

// divideRest gives each claim its whole part by weight, and the remaining slots by largest remainder.
func divideRest(left, weights int, claims []Claim) {
	given := 0
	for i := range claims {
		claims[i].Got = left * claims[i].Weight / weights
		given += claims[i].Got
	}
	slices.SortFunc(claims, func(a, b Claim) int {
		ra := left * a.Weight % weights
		rb := left * b.Weight % weights
		return cmp.Or(cmp.Compare(rb, ra), cmp.Compare(a.index, b.index))
	})
	for i := 0; given < left && i < len(claims); i++ {
		if claims[i].Got < claims[i].Want {
			claims[i].Got++
			given++
		}
	}
}
