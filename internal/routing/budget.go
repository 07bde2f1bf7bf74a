package routing

// RetryBudget lets each customer retry a percentage of its requests, so that
// retries can't multiply an overload. Not safe for concurrent use.
type RetryBudget struct {
	percent float64
	tokens  map[string]float64
}

// burstRetries is how many retries a customer may save up.
const burstRetries = 10.0

// maxBudgets bounds how many customers' balances are held.
const maxBudgets = 16384

// NewRetryBudget returns a budget of percent retries per hundred requests.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{percent: float64(percent) / 100, tokens: map[string]float64{}}
}

// SetPercent changes the budget's rate.
func (b *RetryBudget) SetPercent(percent int) { b.percent = float64(percent) / 100 }

// RecordRequest earns the customer a part of a retry.
func (b *RetryBudget) RecordRequest(customer string) {
	tokens, known := b.tokens[customer]
	if !known {
		if len(b.tokens) >= maxBudgets {
			clear(b.tokens)
		}
		tokens = burstRetries
	}
	b.tokens[customer] = min(tokens+b.percent, burstRetries)
}

// Acquire spends one retry; false means that the budget is used up.
func (b *RetryBudget) Acquire(customer string) bool {
	if b.tokens[customer] < 1 {
		return false
	}
	b.tokens[customer]--
	return true
}

// Release gives a retry back that was spent and not made.
func (b *RetryBudget) Release(customer string) {
	if _, known := b.tokens[customer]; known {
		b.tokens[customer] = min(b.tokens[customer]+1, burstRetries)
	}
}
