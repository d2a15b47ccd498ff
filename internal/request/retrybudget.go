package request

import "sync"

// The retry budget is counted in tokens: each success adds a fraction of a
// token, up to a maximum, and each retry costs one.
const (
	retryTokensPerSuccess = 0.1
	maxRetryTokens        = 10
)

// retryBudget limits retries to a fraction of the successes, so that retries
// do not multiply the load of failing targets.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// deposit adds the tokens of one success.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryTokensPerSuccess, maxRetryTokens)
}

// tryWithdraw takes the token of one retry and reports whether there was one.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
