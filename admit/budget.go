package admit

// Budget limits retries to a percentage of first attempts, so that retries cannot amplify an overload.
type Budget struct {
	percent int
	// savedHundredths is the number of unused retries, in hundredths of a retry.
	savedHundredths int
}

// maxSavedHundredths bounds the burst of retries after a time without failures.
const maxSavedHundredths = 10 * 100

// NewBudget returns a full budget that earns the given number of retries per hundred first attempts.
func NewBudget(percent int) *Budget {
	b := &Budget{percent: percent}
	if percent > 0 {
		b.savedHundredths = maxSavedHundredths
	}
	return b
}

// First records a first attempt.
func (b *Budget) First() { b.savedHundredths = min(b.savedHundredths+b.percent, maxSavedHundredths) }

// Retry takes one retry from the budget and reports whether one was left.
func (b *Budget) Retry() bool {
	if b.savedHundredths < 100 {
		return false
	}
	b.savedHundredths -= 100
	return true
}
