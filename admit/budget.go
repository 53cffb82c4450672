package admit

// Budget lets retries be only a part of first tries, so that they cannot amplify an overload.
type Budget struct {
	percent int
	// hundredths of a retry that are saved up.
	saved int
}

// savedMost bounds the saved retries, in hundredths.
const savedMost = 10 * 100

// NewBudget returns a budget of the given retries a hundred first tries, with its savings full.
func NewBudget(percent int) *Budget {
	b := &Budget{percent: percent}
	if percent > 0 {
		b.saved = savedMost
	}
	return b
}

// First counts a first try.
func (b *Budget) First() { b.saved = min(b.saved+b.percent, savedMost) }

// Retry takes one retry out of the budget, and returns false when none is left.
func (b *Budget) Retry() bool {
	if b.saved < 100 {
		return false
	}
	b.saved -= 100
	return true
}
