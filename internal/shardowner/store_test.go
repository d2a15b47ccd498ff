package shardowner

import (
	"context"
	"sync"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

// memoryStore is a platform in memory whose faults a test switches on.
type memoryStore struct {
	mu      sync.Mutex
	entries map[string]platform.Entry
	version platform.Version
	leases  map[platform.LeaseID]memoryLease
	next    platform.LeaseID
	writes  int
	reads   int
	// down makes all calls fail, and loseAnswers makes the next writes take
	// effect without an answer.
	down        bool
	loseAnswers int
	// blind makes the next read fail, as it may after a lost answer.
	blind bool
}

type memoryLease struct {
	ttl time.Duration
	end model.Instant
}

func newMemoryStore() *memoryStore {
	return &memoryStore{entries: map[string]platform.Entry{}, leases: map[platform.LeaseID]memoryLease{}}
}

// begin locks the store, lets leases lapse and reports an outage.
func (s *memoryStore) begin() error {
	s.mu.Lock()
	now := model.Now()
	for id, lease := range s.leases {
		if lease.end <= now {
			s.end(id)
		}
	}
	if s.down {
		s.mu.Unlock()
		return platform.Error.Wrap(platform.ErrUnavailable)
	}
	return nil
}

func (s *memoryStore) end(id platform.LeaseID) {
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

// lose makes the answers of the next writes get lost.
func (s *memoryStore) lose(answers int) {
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
	if s.blind {
		s.blind = false
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

func (s *memoryStore) Watch(context.Context, string, platform.Version) (platform.Change, error) {
	return platform.Change{}, platform.Error.Wrap(platform.ErrUnavailable)
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
		s.blind = true
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
	s.next++
	s.leases[s.next] = memoryLease{ttl: ttl, end: model.Now().Add(ttl)}
	return s.next, nil
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
	lease.end = model.Now().Add(lease.ttl)
	s.leases[id] = lease
	return nil
}

func (s *memoryStore) Revoke(_ context.Context, id platform.LeaseID) error {
	if err := s.begin(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.writes++
	s.end(id)
	return nil
}
