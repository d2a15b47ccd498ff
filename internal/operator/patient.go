package operator

import (
	"context"
	"errors"
	"time"

	"github.com/balsamlink/balsamlink/internal/platform"
)

// budgetPause is the pause before a call that was over the budget is made again.
const budgetPause = 100 * time.Millisecond

// patient waits while its process has used up its budget of calls.
type patient struct {
	platform.Store
}

// Patient returns a store whose Get, List and Put wait for the call budget in
// place of failing. Such calls have had no effect, so that they may be repeated.
func Patient(store platform.Store) platform.Store { return patient{store} }

// Get implements platform.Store.
func (p patient) Get(ctx context.Context, key string) (platform.Entry, error) {
	return withinBudget(ctx, func() (platform.Entry, error) { return p.Store.Get(ctx, key) })
}

// List implements platform.Store.
func (p patient) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	return withinBudget(ctx, func() ([]platform.Entry, error) { return p.Store.List(ctx, prefix) })
}

// Put implements platform.Store.
func (p patient) Put(ctx context.Context, write platform.Write) (platform.Version, error) {
	return withinBudget(ctx, func() (platform.Version, error) { return p.Store.Put(ctx, write) })
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
