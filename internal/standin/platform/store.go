// Package platform is a stand-in for the platform's key-value service. It keeps
// all data in memory, enforces the documented limits of the service, lets tests
// inject faults, and implements the protocol of package kvproto.
package platform

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	api "github.com/balsamlink/balsamlink/internal/platform"
)

const (
	// historySize is the number of past writes kept for watches.
	historySize = 4096
	// The limits for entries, for leases and for the TTL of a lease.
	maxEntries = 1 << 16
	maxLeases  = 1 << 16
	minTTL     = 100 * time.Millisecond
	maxTTL     = time.Hour
)

// writeRecord is a past write in the history.
type writeRecord struct {
	key     string
	version api.Version
}

// lease is a lease; timer expires it after ttl.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store holds the entries and leases.
type store struct {
	mu sync.Mutex
	// version is the number of writes so far, and the version of the newest.
	version api.Version
	entries map[string]api.Entry
	history []writeRecord
	// lastEvicted is the newest version that was evicted from history.
	lastEvicted api.Version
	// lastLease is the ID of the newest lease.
	lastLease api.LeaseID
	leases    map[api.LeaseID]*lease
	// changed is closed and replaced at each write.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		entries: map[string]api.Entry{},
		leases:  map[api.LeaseID]*lease{},
		changed: make(chan struct{}),
	}
}

func (s *store) get(key string) (api.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, known := s.entries[key]
	if !known {
		return api.Entry{}, api.ErrNotFound
	}
	return entry, nil
}

func (s *store) list(prefix string) []api.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listLocked(prefix)
}

func (s *store) listLocked(prefix string) []api.Entry {
	found := []api.Entry{}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b api.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return found
}

func (s *store) put(write api.Write) (api.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(write.Value) > api.MaxValueSize {
		return 0, api.ErrTooLarge
	}
	if write.Lease != 0 && s.leases[write.Lease] == nil {
		return 0, api.ErrLeaseExpired
	}
	old, known := s.entries[write.Key]
	if old.Version != write.Expect {
		return 0, api.ErrConflict
	}
	if !known && len(s.entries) >= maxEntries {
		return 0, api.ErrUnavailable
	}
	s.recordWriteLocked(write.Key)
	s.entries[write.Key] = api.Entry{Key: write.Key, Value: write.Value, Version: s.version, Lease: write.Lease}
	return s.version, nil
}

func (s *store) remove(key string, expect api.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, known := s.entries[key]
	if !known {
		return api.ErrNotFound
	}
	if entry.Version != expect {
		return api.ErrConflict
	}
	delete(s.entries, key)
	s.recordWriteLocked(key)
	return nil
}

// recordWriteLocked increments the version, adds a write to the history and wakes
// the pending watches. The caller holds s.mu.
func (s *store) recordWriteLocked(key string) {
	s.version++
	if len(s.history) == historySize {
		s.lastEvicted = s.history[0].version
		s.history = slices.Delete(s.history, 0, 1)
	}
	s.history = append(s.history, writeRecord{key: key, version: s.version})
	close(s.changed)
	s.changed = make(chan struct{})
}

// changeSince returns the entries under a prefix if a write newer than after
// changed them, and otherwise a channel that is closed at the next write.
func (s *store) changeSince(prefix string, after api.Version) (api.PrefixState, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasChangedLocked(prefix, after) {
		return api.PrefixState{Version: after}, s.changed
	}
	return api.PrefixState{Entries: s.listLocked(prefix), Version: s.version, Changed: true}, nil
}

// hasChangedLocked reports whether a write newer than after changed an entry under
// prefix. It also returns true when it cannot tell: for versions from before a
// restart of the service and for those older than the history. The caller holds
// s.mu.
func (s *store) hasChangedLocked(prefix string, after api.Version) bool {
	if after > s.version || after < s.lastEvicted {
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

func (s *store) grant(ttl time.Duration) (api.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.leases) >= maxLeases {
		return 0, api.ErrUnavailable
	}
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	return id, nil
}

func (s *store) keepAlive(id api.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	// Stop returns false when the timer has fired: the lease is about to be deleted.
	if lease == nil || !lease.timer.Stop() {
		return api.ErrLeaseExpired
	}
	lease.timer.Reset(lease.ttl)
	return nil
}

// endLease ends a lease and deletes the entries attached to it.
func (s *store) endLease(id api.LeaseID) {
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
			s.recordWriteLocked(key)
		}
	}
}

// expireAllLeases ends all leases.
func (s *store) expireAllLeases() {
	s.mu.Lock()
	ids := make([]api.LeaseID, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	s.mu.Unlock()
	for _, id := range ids {
		s.endLease(id)
	}
}
