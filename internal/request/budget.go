package request

import "sync"

// The retry budget in tokens: each success earns a part of one, each retry
// costs one, and no more than a few can be saved.
const (
	budgetPerSuccess = 0.1
	budgetMost       = 10
)

// budget bounds retries to a part of the successes, so that a failure of the
// targets is not answered with more load.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: budgetMost} }

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetPerSuccess, budgetMost)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
