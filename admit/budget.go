package admit

// RetryBudget limits retries to a percentage of first attempts, so that retries cannot amplify an overload.
type RetryBudget struct {
	percent int
	// savedHundredths is the number of unused retries, in hundredths of a retry.
	savedHundredths int
}

// maxSavedHundredths bounds the burst of retries after a time without failures.
const maxSavedHundredths = 10 * 100

// NewRetryBudget returns a budget that earns the given number of retries per hundred first attempts. It starts full, unless it earns none.
func NewRetryBudget(percent int) *RetryBudget {
	b := &RetryBudget{percent: percent}
	if percent > 0 {
		b.savedHundredths = maxSavedHundredths
	}
	return b
}

// RecordFirstAttempt records a first attempt.
func (b *RetryBudget) RecordFirstAttempt() {
	b.savedHundredths = min(b.savedHundredths+b.percent, maxSavedHundredths)
}

// TakeRetry takes one retry from the budget and reports whether one was left.
func (b *RetryBudget) TakeRetry() bool {
	if b.savedHundredths < 100 {
		return false
	}
	b.savedHundredths -= 100
	return true
}
