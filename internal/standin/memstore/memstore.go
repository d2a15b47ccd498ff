// Package memstore is a platform store in memory. Each process of a test sees
// it through a View, whose faults the test chooses call by call.
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

// Fault is what happens to one call.
type Fault uint8

// The faults.
const (
	None Fault = iota
	// Unavailable refuses the call without effect.
	Unavailable
	// OverBudget refuses the call without effect, as a plug-in does.
	OverBudget
	// RequestLost loses a write; its outcome is unknown to the caller.
	RequestLost
	// ResponseLost carries a write out and loses the answer.
	ResponseLost
	// Delayed loses the answer and carries the write out at a later Flush, if
	// its version still matches then.
	Delayed
	// Crash loses the answer of this call, after its effect, and refuses every
	// later call of the view.
	Crash
)

// Store holds the values. The zero value is ready for use.
type Store struct {
	mu      sync.Mutex
	version platform.Version
	entries map[string]platform.Entry
	delayed []platform.Write
}

// ApplyDelayed carries out the delayed writes whose versions still match.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	delayed := s.delayed
	s.delayed = nil
	s.mu.Unlock()
	for _, write := range delayed {
		_, _ = s.put(write)
	}
}

// View returns a store whose calls ask fault what happens to them. The function
// is called before the call has its effect.
func (s *Store) View(fault func(call string) Fault) *View {
	return &View{store: s, fault: fault}
}

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

// View is one process's view of a Store. It keeps no leases.
type View struct {
	// Store makes calls without an implementation here panic.
	platform.Store
	store *Store
	fault func(call string) Fault
	dead  atomic.Bool
}

func (v *View) next(call string) Fault {
	if v.dead.Load() {
		return Unavailable
	}
	fault := v.fault(call)
	if fault == Crash {
		v.dead.Store(true)
	}
	return fault
}

// refusal returns the error of a call that only reads.
func refusal(fault Fault) error {
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
	if err := refusal(v.next("get")); err != nil {
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
	if err := refusal(v.next("list")); err != nil {
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
	switch fault := v.next("put"); fault {
	case Unavailable, OverBudget:
		return 0, refusal(fault)
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
	if err := refusal(v.next("delete")); err != nil {
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
