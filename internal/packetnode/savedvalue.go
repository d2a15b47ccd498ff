package packetnode

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	// savedPrefix is the prefix of the keys under which the values of nodes are saved for
	// their next incarnations.
	savedPrefix = "balsamlink/saved/"
	// saveInterval is the time between two looks at a node's value, and resaveInterval that
	// after which a value is sent to the keeper again although it has not changed.
	saveInterval   = time.Second
	resaveInterval = 8 * time.Second
	// maxUnacknowledged is how many times in a row a keeper may fail to acknowledge a value
	// before another one is chosen, and avoidTime how long it is not chosen again.
	maxUnacknowledged = 2
	avoidTime         = 10 * time.Second
	// MaxSavedPart is the maximum size of a part of a saved value, in bytes: it fits one
	// datagram.
	MaxSavedPart = 1200
)

// SavedValue is a value that a node saves for its next incarnation. It outlives the node by
// some seconds.
type SavedValue struct {
	// Value returns the value to save, and false if the last one will do. It is called when
	// the value may be sent, with again set if the last one may not have arrived. The value
	// is in parts of at most MaxSavedPart bytes, of which there are never fewer than before.
	Value func(now model.Instant, again bool) (parts [][]byte, changed bool)
	// Restore is called once, with the parts of the values of former incarnations.
	Restore func(now model.Instant, parts [][]byte)
}

// savedValue has a node's SavedValue saved by a keeper, a balancer that writes the values of
// many nodes to the store in one call.
type savedValue struct {
	restoring bool
	restored  bool
	schedule  retrySchedule
	// keeper was sent the last value, at sentAt and with series. missing are the parts of it
	// that the keeper has not acknowledged, and unacknowledged is the number of values in a
	// row of which it has acknowledged no part.
	keeper         netip.Addr
	sentAt         model.Instant
	series         uint32
	missing        map[uint16]bool
	unacknowledged int
	// avoid are the keepers that did not acknowledge values, and until when they are not
	// chosen.
	avoid map[netip.Addr]model.Instant
}

func (s *savedValue) tick(n *Node, now model.Instant) {
	if n.config.Saved == nil || !s.schedule.due(now) {
		return
	}
	if !s.restored {
		s.restore(n, now)
		return
	}
	s.schedule.succeeded(now.Add(saveInterval))
	s.send(n, now)
}

// send sends the value to the keeper if it has changed, or if the keeper may not have it.
func (s *savedValue) send(n *Node, now model.Instant) {
	keeper := s.chooseKeeper(n.table, now)
	if !keeper.IsValid() {
		return
	}
	again := keeper != s.keeper || len(s.missing) > 0 || now.Sub(s.sentAt) >= resaveInterval
	parts, changed := n.config.Saved.Value(now, again)
	if !changed {
		return
	}
	if keeper != s.keeper {
		s.unacknowledged = 0
	}
	s.series++
	s.unacknowledged++
	s.keeper, s.sentAt, s.missing = keeper, now, map[uint16]bool{}
	for number, part := range parts {
		s.missing[uint16(number)] = true
		n.Send(keeper, appendSavedPart(nil, savedPart{Incarnation: n.incarnation, Series: s.series, Number: uint16(number), Value: part}))
	}
}

// chooseKeeper returns the keeper for this node, or the zero address if no balancer is live.
// The balancers of the node's own zone come before others. The nodes of a zone share a
// keeper, up to MaxReplaced of them.
func (s *savedValue) chooseKeeper(table *NodeTable, now model.Instant) netip.Addr {
	if s.unacknowledged > maxUnacknowledged {
		if s.avoid == nil {
			s.avoid = map[netip.Addr]model.Instant{}
		}
		s.avoid[s.keeper], s.unacknowledged = now.Add(avoidTime), 0
	}
	for vm, until := range s.avoid {
		if now >= until {
			delete(s.avoid, vm)
		}
	}
	return table.keeper(now, s.avoid)
}

// acknowledge records that the keeper has a part of a value.
func (s *savedValue) acknowledge(from netip.Addr, part savedPart) {
	if from != s.keeper {
		return
	}
	s.unacknowledged = 0
	if part.Series == s.series {
		delete(s.missing, part.Number)
	}
}

// restore reads the values of former incarnations.
func (s *savedValue) restore(n *Node, now model.Instant) {
	if s.restoring || !n.outage.allows(now) {
		return
	}
	s.restoring = true
	n.outage.begin()
	prefix := fmt.Sprintf("%s%s/", savedPrefix, n.self.VM)
	own := fmt.Sprintf("%s%x/", prefix, n.incarnation)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		snapshot, err := n.config.Underlay.Store().Snapshot(ctx, prefix, true)
		n.post(func(now model.Instant) {
			s.restoring = false
			if err != nil {
				n.log.WithError(err).Debug("saved_value_failed")
				n.storeCallFailed(now)
				return
			}
			n.outage.answered()
			s.restored = true
			var parts [][]byte
			for _, entry := range snapshot.Entries {
				if !strings.HasPrefix(entry.Key, own) {
					parts = append(parts, entry.Value)
				}
			}
			n.config.Saved.Restore(now, parts)
		})
	}()
}
