// Package platform is a stand-in for the platform's key-value service: all in
// memory, with the service's stated limits and with faults that tests inject.
// It speaks the protocol of package kvproto.
package platform

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	edge "github.com/balsamlink/balsamlink/internal/platform"
)

const (
	// historySize is how many past writes are kept for watches.
	historySize = 4096
	maxEntries  = 1 << 16
	maxLeases   = 1 << 16
	minTTL      = 100 * time.Millisecond
	maxTTL      = time.Hour
)

// touch is one past write.
type touch struct {
	key     string
	version edge.Version
}

// lease is one lease; its timer ends it.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store holds the entries and leases.
type store struct {
	mu      sync.Mutex
	version edge.Version
	entries map[string]edge.Entry
	history []touch
	// forgotten is the newest version that the history no longer holds.
	forgotten edge.Version
	nextLease edge.LeaseID
	leases    map[edge.LeaseID]*lease
	// changed is closed and replaced at each write.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		entries: map[string]edge.Entry{},
		leases:  map[edge.LeaseID]*lease{},
		changed: make(chan struct{}),
	}
}

func (s *store) get(key string) (edge.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, known := s.entries[key]
	if !known {
		return edge.Entry{}, edge.ErrNotFound
	}
	return entry, nil
}

func (s *store) list(prefix string) []edge.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listLocked(prefix)
}

func (s *store) listLocked(prefix string) []edge.Entry {
	found := []edge.Entry{}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b edge.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return found
}

func (s *store) put(write edge.Write) (edge.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(write.Value) > edge.MaxValueSize {
		return 0, edge.ErrTooLarge
	}
	if write.Lease != 0 && s.leases[write.Lease] == nil {
		return 0, edge.ErrLeaseExpired
	}
	old, known := s.entries[write.Key]
	if old.Version != write.Expect {
		return 0, edge.ErrConflict
	}
	if !known && len(s.entries) >= maxEntries {
		return 0, edge.ErrUnavailable
	}
	s.touchLocked(write.Key)
	s.entries[write.Key] = edge.Entry{Key: write.Key, Value: write.Value, Version: s.version, Lease: write.Lease}
	return s.version, nil
}

func (s *store) remove(key string, expect edge.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, known := s.entries[key]
	if !known {
		return edge.ErrNotFound
	}
	if entry.Version != expect {
		return edge.ErrConflict
	}
	delete(s.entries, key)
	s.touchLocked(key)
	return nil
}

// touchLocked notes a write and wakes the watches.
func (s *store) touchLocked(key string) {
	s.version++
	if len(s.history) == historySize {
		s.forgotten = s.history[0].version
		s.history = slices.Delete(s.history, 0, 1)
	}
	s.history = append(s.history, touch{key: key, version: s.version})
	close(s.changed)
	s.changed = make(chan struct{})
}

// changeSince returns the entries under a prefix if a write newer than after
// touched it, and else a channel that is closed at the next write.
func (s *store) changeSince(prefix string, after edge.Version) (edge.Change, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.touchedLocked(prefix, after) {
		return edge.Change{Version: after}, s.changed
	}
	return edge.Change{Entries: s.listLocked(prefix), Version: s.version, Changed: true}, nil
}

// touchedLocked also reports true for versions of an earlier life of the
// service and for those that the history no longer reaches.
func (s *store) touchedLocked(prefix string, after edge.Version) bool {
	if after > s.version || after < s.forgotten {
		return true
	}
	for _, past := range slices.Backward(s.history) {
		if past.version <= after {
			return false
		}
		if strings.HasPrefix(past.key, prefix) {
			return true
		}
	}
	return false
}

func (s *store) grant(ttl time.Duration) (edge.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.leases) >= maxLeases {
		return 0, edge.ErrUnavailable
	}
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	return id, nil
}

func (s *store) keepAlive(id edge.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil || !lease.timer.Stop() {
		return edge.ErrLeaseExpired
	}
	lease.timer.Reset(lease.ttl)
	return nil
}

// endLease ends a lease and deletes the values under it.
func (s *store) endLease(id edge.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		return
	}
	lease.timer.Stop()
	delete(s.leases, id)
	for key, entry := range s.entries {
		if entry.Lease == id {
			delete(s.entries, key)
			s.touchLocked(key)
		}
	}
}

// lapse ends all leases at once.
func (s *store) lapse() {
	s.mu.Lock()
	ids := make([]edge.LeaseID, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	s.mu.Unlock()
	for _, id := range ids {
		s.endLease(id)
	}
}
