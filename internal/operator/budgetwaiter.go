package operator

import (
	"context"
	"errors"
	"time"

	"github.com/balsamlink/balsamlink/internal/platform"
)

// budgetPause is the pause before a call that exceeded the call budget is
// repeated. The call budget is the limit on this process's rate of calls to the
// platform.
const budgetPause = 100 * time.Millisecond

// budgetWaiter is the store that WaitForBudget returns.
type budgetWaiter struct {
	platform.Store
}

// WaitForBudget returns a store whose Get, List and Put wait for the call budget
// instead of failing. Calls over the budget have had no effect, so repeating them
// is safe.
func WaitForBudget(store platform.Store) platform.Store { return budgetWaiter{store} }

// Get implements platform.Store.
func (b budgetWaiter) Get(ctx context.Context, key string) (platform.Entry, error) {
	return withinBudget(ctx, func() (platform.Entry, error) { return b.Store.Get(ctx, key) })
}

// List implements platform.Store.
func (b budgetWaiter) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	return withinBudget(ctx, func() ([]platform.Entry, error) { return b.Store.List(ctx, prefix) })
}

// Put implements platform.Store.
func (b budgetWaiter) Put(ctx context.Context, write platform.Write) (platform.Version, error) {
	return withinBudget(ctx, func() (platform.Version, error) { return b.Store.Put(ctx, write) })
}

func withinBudget[T any](ctx context.Context, call func() (T, error)) (T, error) {
	for {
		value, err := call()
		if !errors.Is(err, platform.ErrOverBudget) {
			return value, err
		}
		select {
		case <-time.After(budgetPause):
		case <-ctx.Done():
			return value, err
		}
	}
}
