package packetnode

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
)

const (
	// keepInterval is the minimum time between two writes of a keeper. It is keepSpacing
	// times the number of keepers where that is longer, so that all keepers together make at
	// most six writes a second.
	keepInterval = 2 * time.Second
	keepSpacing  = 160 * time.Millisecond
	// keptPerWrite is the number of values that a keeper writes in one call.
	keptPerWrite = platform.MaxReplaced
	// maxKeptBytes limits the values that a keeper holds, in bytes.
	maxKeptBytes = 4 << 20
	// keepLease is how long values outlive their keeper, and keepRenewal the time between
	// two renewals of its lease.
	keepLease   = 30 * time.Second
	keepRenewal = 8 * time.Second
)

// keeper holds the saved values of other nodes, and writes those that have changed to the
// store, many in one call. It is not safe for concurrent use.
type keeper struct {
	running  bool
	schedule retrySchedule
	kept     map[keptID]*keptValue
	// size is the total size of the values, in bytes.
	size int
	// lease is the lease that the values in the store are bound to, 0 until there is one,
	// and renewal is when it is renewed next.
	lease   platform.LeaseID
	renewal model.Instant
}

// keptID identifies a part of a node's value.
type keptID struct {
	VM     netip.Addr
	Number uint16
}

type keptValue struct {
	incarnation uint64
	series      uint32
	value       []byte
	// dirty is set while the value is not in the store.
	dirty bool
}

// receive takes a part of a node's value, unless it is older than the known one. It reports
// whether the keeper has that part, or a newer one.
func (k *keeper) receive(vm netip.Addr, part savedPart) bool {
	if k.kept == nil {
		k.kept = map[keptID]*keptValue{}
	}
	id := keptID{VM: vm, Number: part.Number}
	known := k.kept[id]
	if known != nil && known.incarnation == part.Incarnation && known.series >= part.Series {
		return true
	}
	size := k.size + len(part.Value)
	if known != nil {
		size -= len(known.value)
	}
	if size > maxKeptBytes {
		return false
	}
	k.size = size
	same := known != nil && known.incarnation == part.Incarnation && slices.Equal(known.value, part.Value)
	k.kept[id] = &keptValue{
		incarnation: part.Incarnation, series: part.Series, value: slices.Clone(part.Value), dirty: !same || known.dirty,
	}
	return true
}

// forget removes the values of nodes that have been evicted or shut down: they will not be
// restored.
func (k *keeper) forget(table *NodeTable) {
	for id, value := range k.kept {
		node := table.Node(id.VM)
		if node == nil || node.State == StateGone {
			k.size -= len(value.value)
			delete(k.kept, id)
		}
	}
}

// setLease replaces the lease. Values bound to another one are not in the store any more.
func (k *keeper) setLease(lease platform.LeaseID) {
	if lease == k.lease {
		return
	}
	k.lease = lease
	for _, value := range k.kept {
		value.dirty = true
	}
}

// batch returns the writes for the values that are not in the store, at most keptPerWrite.
func (k *keeper) batch() ([]platform.Write, []*keptValue) {
	var writes []platform.Write
	var values []*keptValue
	for id, value := range k.kept {
		if !value.dirty {
			continue
		}
		key := fmt.Sprintf("%s%s/%x/%x/%d", savedPrefix, id.VM, value.incarnation, k.lease, id.Number)
		writes = append(writes, platform.Write{Key: key, Value: value.value, Lease: k.lease})
		values = append(values, value)
		if len(writes) == keptPerWrite {
			break
		}
	}
	return writes, values
}

func (k *keeper) tick(n *Node, now model.Instant) {
	if k.running || len(k.kept) == 0 || !n.outage.allows(now) {
		return
	}
	if now >= k.renewal {
		k.renewLease(n)
		return
	}
	if !k.schedule.due(now) {
		return
	}
	k.schedule.succeeded(now.Add(max(keepInterval, time.Duration(n.table.keeperCount())*keepSpacing)))
	k.forget(n.table)
	writes, values := k.batch()
	if len(writes) == 0 {
		return
	}
	k.running = true
	n.outage.begin()
	for _, value := range values {
		value.dirty = false
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		err := n.config.Underlay.Store().Replace(ctx, writes)
		n.post(func(now model.Instant) { k.written(n, now, values, err) })
	}()
}

// renewLease renews the lease, or requests one.
func (k *keeper) renewLease(n *Node) {
	k.running = true
	n.outage.begin()
	lease := k.lease
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		store := n.config.Underlay.Store()
		err := platform.ErrLeaseExpired
		if lease != 0 {
			err = store.KeepAlive(ctx, lease)
		}
		if errors.Is(err, platform.ErrLeaseExpired) {
			lease, err = store.Grant(ctx, keepLease)
		}
		n.post(func(now model.Instant) {
			k.running = false
			if err != nil {
				n.log.WithError(err).Debug("keeper_lease_failed")
				n.storeCallFailed(now)
				return
			}
			n.outage.answered()
			k.setLease(lease)
			k.renewal = now.Add(keepRenewal)
		})
	}()
}

// written evaluates a write. A value that has been replaced since is another keptValue.
func (k *keeper) written(n *Node, now model.Instant, values []*keptValue, err error) {
	k.running = false
	if err == nil {
		n.outage.answered()
		n.metrics.valuesKept.Add(int64(len(values)))
		return
	}
	for _, value := range values {
		value.dirty = true
	}
	if errors.Is(err, platform.ErrLeaseExpired) {
		n.outage.answered()
		k.renewal = now
		return
	}
	n.log.WithError(err).Debug("saved_values_failed")
	n.storeCallFailed(now)
}

// keeper returns the balancer that saves the values of this node, or the zero address if none
// is live, leaving out those to avoid. It is one of the node's own zone if there is any. The
// agents of a zone share one keeper, or several if they are more than one write takes.
func (t *NodeTable) keeper(now model.Instant, avoid map[netip.Addr]model.Instant) netip.Addr {
	var near, far []netip.Addr
	for vm, node := range t.nodes {
		if _, avoided := avoid[vm]; avoided || node.Peer.Role != model.RoleBalancer || node.State != StateOpen || !node.Live(now) {
			continue
		}
		if node.Peer.Zone == t.self.Zone {
			near = append(near, vm)
		} else {
			far = append(far, vm)
		}
	}
	candidates := near
	if len(candidates) == 0 {
		candidates = far
	}
	if len(candidates) == 0 {
		return netip.Addr{}
	}
	slices.SortFunc(candidates, netip.Addr.Compare)
	keepers := 1 + t.agentsIn(t.self.Zone)/keptPerWrite
	return candidates[int(vmHash(t.self.VM)%uint64(keepers))%len(candidates)]
}

// agentsIn returns the number of known agents in an availability zone.
func (t *NodeTable) agentsIn(zone model.Zone) int {
	count := 0
	for _, node := range t.nodes {
		if node.Peer.Role == model.RoleAgent && node.Peer.Zone == zone && node.State != StateGone {
			count++
		}
	}
	return count
}

// keeperCount returns about how many keepers all agents together have.
func (t *NodeTable) keeperCount() int {
	zones := map[model.Zone]int{}
	for _, node := range t.nodes {
		if node.Peer.Role == model.RoleAgent && node.State != StateGone {
			zones[node.Peer.Zone]++
		}
	}
	count := 0
	for _, agents := range zones {
		count += 1 + agents/keptPerWrite
	}
	return count
}
