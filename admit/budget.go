package admit

// RetryBudget lets retries be only a part of first tries, so that they cannot amplify an overload.
type RetryBudget struct {
	percent int
	// hundredths of a retry that are saved up.
	saved int
}

// savedMost bounds the saved retries, in hundredths.
const savedMost = 10 * 100

// NewRetryBudget returns a budget of the given retries a hundred first tries, with its savings full.
func NewRetryBudget(percent int) *RetryBudget {
	b := &RetryBudget{percent: percent}
	if percent > 0 {
		b.saved = savedMost
	}
	return b
}

// RecordFirstAttempt counts a first try.
func (b *RetryBudget) RecordFirstAttempt() { b.saved = min(b.saved+b.percent, savedMost) }

// TakeRetry takes one retry out of the budget, and returns false when none is left.
func (b *RetryBudget) TakeRetry() bool {
	if b.saved < 100 {
		return false
	}
	b.saved -= 100
	return true
}
