// Package memstore is an in-memory platform.Store for tests. Each simulated process
// uses it through its own View, for which the test chooses a fault for each call.
package memstore

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/balsamlink/balsamlink/internal/platform"
)

// Fault is the fault injected into one call.
type Fault uint8

// The faults. RequestLost, ResponseLost, Delayed and Crash affect Put as described;
// Get, List and Delete treat them as Unavailable. After a Crash the view is
// unavailable in any case.
const (
	// None lets the call succeed.
	None Fault = iota
	// Unavailable fails the call with ErrUnavailable, without effect.
	Unavailable
	// OverBudget fails the call with ErrOverBudget, without effect, as a plug-in does
	// that has used up its call budget.
	OverBudget
	// RequestLost drops a write and returns ErrUnknownOutcome.
	RequestLost
	// ResponseLost performs a write and returns ErrUnknownOutcome.
	ResponseLost
	// Delayed returns ErrUnknownOutcome. ApplyDelayed performs the write later if its
	// expected version still matches then.
	Delayed
	// Crash performs a write and returns ErrUnknownOutcome. All later calls of the
	// view fail with ErrUnavailable.
	Crash
)

// Store holds the entries. The zero value is an empty store ready for use.
type Store struct {
	mu sync.Mutex
	// version is the version of the newest write.
	version platform.Version
	entries map[string]platform.Entry
	// delayed holds the writes that ApplyDelayed performs.
	delayed []platform.Write
}

// ApplyDelayed performs the delayed writes whose expected versions still match and
// discards the others.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	delayed := s.delayed
	s.delayed = nil
	s.mu.Unlock()
	for _, write := range delayed {
		_, _ = s.put(write)
	}
}

// View returns a new view. Each of its calls first passes its kind ("get", "list",
// "put" or "delete") to fault, which returns the fault to inject.
func (s *Store) View(fault func(call string) Fault) *View {
	return &View{store: s, fault: fault}
}

// put performs a write if its expected version matches.
func (s *Store) put(write platform.Write) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(write.Value) > platform.MaxValueSize {
		return 0, platform.Error.Wrap(platform.ErrTooLarge)
	}
	if s.entries[write.Key].Version != write.Expect {
		return 0, platform.Error.Wrap(platform.ErrConflict)
	}
	if s.entries == nil {
		s.entries = map[string]platform.Entry{}
	}
	s.version++
	s.entries[write.Key] = platform.Entry{Key: write.Key, Value: slices.Clone(write.Value), Version: s.version}
	return s.version, nil
}

// View is the platform.Store of one simulated process. It does not support leases.
type View struct {
	// Store is nil, so that calls without an implementation here panic.
	platform.Store
	store   *Store
	fault   func(call string) Fault
	crashed atomic.Bool
}

// nextFault returns the fault of a call of the given kind.
func (v *View) nextFault(call string) Fault {
	if v.crashed.Load() {
		return Unavailable
	}
	fault := v.fault(call)
	if fault == Crash {
		v.crashed.Store(true)
	}
	return fault
}

// faultError returns the error of a call that fails without effect, or nil.
func faultError(fault Fault) error {
	switch fault {
	case None:
		return nil
	case OverBudget:
		return platform.Error.Wrap(platform.ErrOverBudget)
	default:
		return platform.Error.Wrap(platform.ErrUnavailable)
	}
}

// Get implements platform.Store.
func (v *View) Get(_ context.Context, key string) (platform.Entry, error) {
	if err := faultError(v.nextFault("get")); err != nil {
		return platform.Entry{}, err
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	entry, known := v.store.entries[key]
	if !known {
		return platform.Entry{}, platform.Error.Wrap(platform.ErrNotFound)
	}
	return entry, nil
}

// List implements platform.Store.
func (v *View) List(_ context.Context, prefix string) ([]platform.Entry, error) {
	if err := faultError(v.nextFault("list")); err != nil {
		return nil, err
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	var found []platform.Entry
	for key, entry := range v.store.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b platform.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return found, nil
}

// Put implements platform.Store.
func (v *View) Put(_ context.Context, write platform.Write) (platform.Version, error) {
	switch fault := v.nextFault("put"); fault {
	case Unavailable, OverBudget:
		return 0, faultError(fault)
	case RequestLost:
		return 0, platform.Error.Wrap(platform.ErrUnknownOutcome)
	case Delayed:
		v.store.mu.Lock()
		v.store.delayed = append(v.store.delayed, write)
		v.store.mu.Unlock()
		return 0, platform.Error.Wrap(platform.ErrUnknownOutcome)
	case ResponseLost, Crash:
		_, _ = v.store.put(write)
		return 0, platform.Error.Wrap(platform.ErrUnknownOutcome)
	default:
		return v.store.put(write)
	}
}

// Delete implements platform.Store.
func (v *View) Delete(_ context.Context, key string, expect platform.Version) error {
	if err := faultError(v.nextFault("delete")); err != nil {
		return err
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	if v.store.entries[key].Version != expect {
		return platform.Error.Wrap(platform.ErrConflict)
	}
	delete(v.store.entries, key)
	return nil
}
