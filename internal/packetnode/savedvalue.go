package packetnode

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

const (
	// savedPrefix is the prefix of the keys under which nodes save values for their next
	// incarnation.
	savedPrefix = "balsamlink/saved/"
	// saveInterval is the minimum time between two writes of a node's value. It is
	// saveSpacing times the number of known nodes where that is longer, so that all nodes
	// together make at most four writes a second.
	saveInterval = 3 * time.Second
	saveSpacing  = 250 * time.Millisecond
)

// SavedValue is a value that a node keeps in the store for its next incarnation, bound to
// the lease of its registration: it outlives the node by some seconds.
type SavedValue struct {
	// Value returns the value to save, and false if the last one will do. It is called
	// when a write is due, with again set if the last write has failed.
	Value func(now model.Instant, again bool) (value []byte, changed bool)
	// Restore is called once, with the values of former incarnations.
	Restore func(now model.Instant, values [][]byte)
}

// savedValue maintains a node's SavedValue in the store.
type savedValue struct {
	running  bool
	restored bool
	schedule retrySchedule
	// key is the key that was last written, and version the result. unknown is set if that
	// write has failed, perhaps after it took effect.
	key     string
	version platform.Version
	unknown bool
}

func (s *savedValue) tick(n *Node, now model.Instant) {
	if n.config.Saved == nil || s.running || !s.schedule.due(now) || n.registration.lease == 0 || !n.outage.allows(now) {
		return
	}
	if !s.restored {
		s.start(n, s.restore)
		return
	}
	value, changed := n.config.Saved.Value(now, s.unknown)
	if !changed {
		s.schedule.succeeded(now.Add(saveInterval))
		return
	}
	lease := n.registration.lease
	s.start(n, func(ctx context.Context, n *Node) func(model.Instant) error { return s.write(ctx, n, value, lease) })
}

// start makes a call on a goroutine of its own, and applies what the call returns on the
// control goroutine.
func (s *savedValue) start(n *Node, call func(context.Context, *Node) func(now model.Instant) error) {
	s.running = true
	n.outage.begin()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		apply := call(ctx, n)
		n.post(func(now model.Instant) {
			s.running = false
			if err := apply(now); err != nil {
				n.log.WithError(err).Debug("saved_value_failed")
				n.storeCallFailed(now)
				return
			}
			n.outage.answered()
		})
	}()
}

// restore reads the values of former incarnations.
func (s *savedValue) restore(ctx context.Context, n *Node) func(model.Instant) error {
	prefix := fmt.Sprintf("%s%s/", savedPrefix, n.self.VM)
	own := fmt.Sprintf("%s%x/", prefix, n.incarnation)
	snapshot, err := n.config.Underlay.Store().Snapshot(ctx, prefix, true)
	var values [][]byte
	for _, entry := range snapshot.Entries {
		if !strings.HasPrefix(entry.Key, own) {
			values = append(values, entry.Value)
		}
	}
	return func(now model.Instant) error {
		if err != nil {
			return err
		}
		s.restored = true
		s.schedule.succeeded(now.Add(saveInterval))
		n.config.Saved.Restore(now, values)
		return nil
	}
}

// write writes the value under a key of this incarnation and lease.
func (s *savedValue) write(ctx context.Context, n *Node, value []byte, lease platform.LeaseID) func(model.Instant) error {
	key := fmt.Sprintf("%s%s/%x/%x", savedPrefix, n.self.VM, n.incarnation, lease)
	store := n.config.Underlay.Store()
	expected, err := s.version, error(nil)
	switch {
	case key != s.key:
		expected = 0
	case s.unknown:
		var entry platform.Entry
		if entry, err = store.Get(ctx, key); errors.Is(err, platform.ErrNotFound) {
			err = nil
		}
		expected = entry.Version
	}
	version := platform.Version(0)
	if err == nil {
		version, err = store.Put(ctx, platform.Write{Key: key, Value: value, Expect: expected, Lease: lease})
	}
	return func(now model.Instant) error {
		s.key, s.version, s.unknown = key, version, err != nil
		s.schedule.succeeded(now.Add(max(saveInterval, time.Duration(len(n.table.nodes))*saveSpacing)))
		if errors.Is(err, platform.ErrLeaseExpired) || errors.Is(err, platform.ErrConflict) {
			// The store has answered. The registration gets a new lease.
			return nil
		}
		return err
	}
}
