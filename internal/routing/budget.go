package routing

// RetryBudget limits each customer's retries to a percentage of its requests, so that
// retries don't amplify an overload. Not safe for concurrent use.
type RetryBudget struct {
	ratio  float64
	tokens map[string]float64
}

// maxSavedRetries is the initial and the maximum number of retries that a customer may use
// at once.
const maxSavedRetries = 10.0

// maxCustomers bounds the number of customers tracked. When it is reached, all budgets start
// anew.
const maxCustomers = 16384

// NewRetryBudget returns a budget of percent retries per hundred requests.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{ratio: float64(percent) / 100, tokens: map[string]float64{}}
}

// SetPercent changes the retries allowed per hundred requests.
func (b *RetryBudget) SetPercent(percent int) { b.ratio = float64(percent) / 100 }

// RecordRequest adds a request's share to the customer's budget.
func (b *RetryBudget) RecordRequest(customer string) {
	tokens, known := b.tokens[customer]
	if !known {
		if len(b.tokens) >= maxCustomers {
			clear(b.tokens)
		}
		tokens = maxSavedRetries
	}
	b.tokens[customer] = min(tokens+b.ratio, maxSavedRetries)
}

// Acquire takes one retry from the budget. It reports whether one was available.
func (b *RetryBudget) Acquire(customer string) bool {
	if b.tokens[customer] < 1 {
		return false
	}
	b.tokens[customer]--
	return true
}

// Release returns an acquired retry that was not made.
func (b *RetryBudget) Release(customer string) {
	if _, known := b.tokens[customer]; known {
		b.tokens[customer] = min(b.tokens[customer]+1, maxSavedRetries)
	}
}
