package shardowner

import (
	"context"
	"sync"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

// memoryStore is an in-memory platform with injectable faults.
type memoryStore struct {
	mu        sync.Mutex
	entries   map[string]platform.Entry
	version   platform.Version
	leases    map[platform.LeaseID]memoryLease
	lastLease platform.LeaseID
	writes    int
	reads     int
	// down makes all calls fail, and loseAnswers makes the next writes take
	// effect without an answer.
	down        bool
	loseAnswers int
	// failNextRead makes the next read fail, as can happen after a lost answer.
	failNextRead bool
}

type memoryLease struct {
	ttl       time.Duration
	expiresAt model.Instant
}

func newMemoryStore() *memoryStore {
	return &memoryStore{entries: map[string]platform.Entry{}, leases: map[platform.LeaseID]memoryLease{}}
}

// begin locks the store, expires leases and fails during an outage.
func (s *memoryStore) begin() error {
	s.mu.Lock()
	now := model.Now()
	for id, lease := range s.leases {
		if lease.expiresAt <= now {
			s.endLease(id)
		}
	}
	if s.down {
		s.mu.Unlock()
		return platform.Error.Wrap(platform.ErrUnavailable)
	}
	return nil
}

func (s *memoryStore) endLease(id platform.LeaseID) {
	delete(s.leases, id)
	for key, entry := range s.entries {
		if entry.Lease == id {
			delete(s.entries, key)
		}
	}
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *memoryStore) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key].Value
}

func (s *memoryStore) counts() (writes, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.reads
}

// loseNextAnswers makes the next writes take effect without an answer.
func (s *memoryStore) loseNextAnswers(answers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = answers
}

func (s *memoryStore) Get(_ context.Context, key string) (platform.Entry, error) {
	if err := s.begin(); err != nil {
		return platform.Entry{}, err
	}
	defer s.mu.Unlock()
	s.reads++
	if s.failNextRead {
		s.failNextRead = false
		return platform.Entry{}, platform.Error.Wrap(platform.ErrUnavailable)
	}
	entry, ok := s.entries[key]
	if !ok {
		return platform.Entry{}, platform.Error.Wrap(platform.ErrNotFound)
	}
	return entry, nil
}

func (s *memoryStore) List(context.Context, string) ([]platform.Entry, error) {
	return nil, platform.Error.Wrap(platform.ErrUnavailable)
}

func (s *memoryStore) Watch(context.Context, string, platform.Version) (platform.PrefixState, error) {
	return platform.PrefixState{}, platform.Error.Wrap(platform.ErrUnavailable)
}

func (s *memoryStore) Put(_ context.Context, write platform.Write) (platform.Version, error) {
	if err := s.begin(); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.writes++
	if s.entries[write.Key].Version != write.Expect {
		return 0, platform.Error.Wrap(platform.ErrConflict)
	}
	if _, live := s.leases[write.Lease]; write.Lease != 0 && !live {
		return 0, platform.Error.Wrap(platform.ErrLeaseExpired)
	}
	s.version++
	s.entries[write.Key] = platform.Entry{
		Key: write.Key, Value: write.Value, Version: s.version, Lease: write.Lease,
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		s.failNextRead = true
		return 0, platform.Error.Wrap(platform.ErrUnknownOutcome)
	}
	return s.version, nil
}

func (s *memoryStore) Delete(context.Context, string, platform.Version) error {
	return platform.Error.Wrap(platform.ErrUnavailable)
}

func (s *memoryStore) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.begin(); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.writes++
	s.lastLease++
	s.leases[s.lastLease] = memoryLease{ttl: ttl, expiresAt: model.Now().Add(ttl)}
	return s.lastLease, nil
}

func (s *memoryStore) KeepAlive(_ context.Context, id platform.LeaseID) error {
	if err := s.begin(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.writes++
	lease, ok := s.leases[id]
	if !ok {
		return platform.Error.Wrap(platform.ErrLeaseExpired)
	}
	lease.expiresAt = model.Now().Add(lease.ttl)
	s.leases[id] = lease
	return nil
}

func (s *memoryStore) Revoke(_ context.Context, id platform.LeaseID) error {
	if err := s.begin(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.writes++
	s.endLease(id)
	return nil
}
