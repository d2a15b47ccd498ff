package packetnode

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

const (
	// registrationPrefix is the prefix of the keys under which nodes register: their VMs.
	registrationPrefix = "balsamlink/nodes/"
	// relaxedDelay is how old a relaxed read of the registrations may be.
	relaxedDelay = 10 * time.Second
	// removeAfter is how long a registered node must be silent before its registration is
	// removed. A registration that is removed while its node runs is written again.
	removeAfter = 30 * time.Second
	// removeMassAfter is removeAfter for a node of an availability zone most of whose nodes
	// are silent: that zone may be cut off from this node alone.
	removeMassAfter = 15 * time.Minute
	// maxRemovals is the maximum number of registrations that are removed after one read.
	maxRemovals = 4
)

// registration maintains the node's key in the store. The key outlives the process, because a
// process that starts again on its VM is the same node to others. So registering costs a call
// when a VM is added, and none when processes restart, however many at the same time.
type registration struct {
	running  bool
	schedule retrySchedule
	// checked is set once a read of the registrations has shown whether the node is
	// registered, and version is that of its key then; 0 means that there is none. valid is
	// set if the key has the node's present role, zone and service.
	checked bool
	version platform.Version
	valid   bool
	// writtenAt is when the key was last written by this process.
	writtenAt model.Instant
}

func registrationKey(vm netip.Addr) string { return registrationPrefix + vm.String() }

// registered reports whether the node is registered as far as it knows.
func (r *registration) registered() bool { return r.checked && r.version != 0 && r.valid }

// observe looks for the node's own key in a read of the registrations. A relaxed read may be
// older than the key.
func (r *registration) observe(n *Node, now model.Instant, entries []platform.Entry, exact bool) {
	if !exact && r.writtenAt != 0 && now.Sub(r.writtenAt) < relaxedDelay {
		return
	}
	r.checked, r.version, r.valid = true, 0, false
	key := registrationKey(n.self.VM)
	for _, entry := range entries {
		if entry.Key == key {
			own, err := codec.Marshal(n.self)
			r.version, r.valid = entry.Version, err == nil && bytes.Equal(own, entry.Value)
		}
	}
}

// tick registers the node if it is not.
func (r *registration) tick(n *Node, now model.Instant) {
	if r.running || !r.checked || r.registered() || !r.schedule.due(now) || !n.outage.allows(now) {
		return
	}
	value, err := codec.Marshal(n.self)
	if err != nil {
		n.log.WithError(err).Error("registration_not_encoded")
		r.schedule.failed(now)
		return
	}
	r.running = true
	n.outage.begin()
	write := platform.Write{Key: registrationKey(n.self.VM), Value: value, Expect: r.version}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		version, err := n.config.Underlay.Store().Put(ctx, write)
		n.post(func(now model.Instant) { r.done(n, now, version, err) })
	}()
}

func (r *registration) done(n *Node, now model.Instant, version platform.Version, err error) {
	r.running = false
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		n.log.WithError(err).Debug("registration_failed")
		n.storeCallFailed(now)
		return
	}
	n.outage.answered()
	if err != nil {
		r.checked = false
		n.discovery.requestExact(now) // it shows what the key is now
		return
	}
	if n.self.Role == model.RoleBalancer {
		// It finds the nodes that registered before, and those that register later find
		// this one.
		n.discovery.requestExact(now)
	}
	r.version, r.valid, r.writtenAt = version, true, now
	n.metrics.registered.Inc()
	n.log.WithField("version", version).Info("registered")
}

// remove removes the registration of a node that has shut down, so that other nodes do not
// try to contact it.
func (r *registration) remove(n *Node) {
	if r.version == 0 || State(n.state.Load()) != StateGone {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if err := n.config.Underlay.Store().Delete(ctx, registrationKey(n.self.VM), r.version); err != nil {
		n.log.WithError(err).Info("registration_left")
	}
}

// janitor removes the registrations of nodes that are gone for good. The balancer that
// verifies the operators' state for all does this work.
type janitor struct {
	// silentSince is since when a registered node has been silent. It outlives the node's
	// eviction from the table.
	silentSince map[netip.Addr]model.Instant
}

// registeredNode is an entry of the registrations whose key names a VM.
type registeredNode struct {
	peer    Peer
	version platform.Version
}

// parseRegistrations returns the entries whose keys name the VMs that they register.
func parseRegistrations(entries []platform.Entry) []registeredNode {
	var nodes []registeredNode
	for _, entry := range entries {
		peer, err := decodeRegistration(entry.Value)
		if err == nil && strings.TrimPrefix(entry.Key, registrationPrefix) == peer.VM.String() {
			nodes = append(nodes, registeredNode{peer: peer, version: entry.Version})
		}
	}
	return nodes
}

// due returns the registrations to remove now, at most maxRemovals.
func (j *janitor) due(now model.Instant, table *NodeTable, nodes []registeredNode) []registeredNode {
	since := map[netip.Addr]model.Instant{}
	registered, silent := map[model.Zone]int{}, map[model.Zone]int{}
	for _, node := range nodes {
		registered[node.peer.Zone]++
		if node.peer.VM == table.self.VM || live(now, table.Node(node.peer.VM)) {
			continue
		}
		silent[node.peer.Zone]++
		since[node.peer.VM] = now
		if earlier, known := j.silentSince[node.peer.VM]; known {
			since[node.peer.VM] = earlier
		}
	}
	j.silentSince = since
	var due []registeredNode
	for _, node := range nodes {
		limit := removeAfter
		if 2*silent[node.peer.Zone] > registered[node.peer.Zone] {
			limit = removeMassAfter
		}
		if at, isSilent := since[node.peer.VM]; isSilent && now.Sub(at) >= limit && len(due) < maxRemovals {
			due = append(due, node)
		}
	}
	return due
}

func live(now model.Instant, node *RemoteNode) bool { return node != nil && node.Live(now) }

// run removes the registrations that are due, on a goroutine of its own. One that has been
// written since the read stays.
func (j *janitor) run(n *Node, now model.Instant, entries []platform.Entry) {
	if n.self.Role != model.RoleBalancer || n.table.Rank(now) > 0 {
		j.silentSince = nil
		return
	}
	due := j.due(now, n.table, parseRegistrations(entries))
	for _, node := range due {
		n.log.WithFields(logrus.Fields{"peer": node.peer.VM, "role": node.peer.Role, "zone": node.peer.Zone}).Info("registration_removed")
	}
	if len(due) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		for _, node := range due {
			err := n.config.Underlay.Store().Delete(ctx, registrationKey(node.peer.VM), node.version)
			if err != nil && !errors.Is(err, platform.ErrConflict) {
				n.log.WithError(err).Debug("registration_not_removed")
				return
			}
		}
	}()
}
